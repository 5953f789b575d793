import type { RoutingDecision } from '../../domain/types';

/** Logs each routing or placement decision and keeps the newest ones for `explain`. */
export interface DecisionLog {
  record(decision: RoutingDecision): void;
  /** Lists the decisions on a request that are still held, oldest first. */
  listDecisions(requestId: string): readonly RoutingDecision[];
}
