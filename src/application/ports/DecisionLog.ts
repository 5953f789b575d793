import type { RoutingDecision } from '../../domain/types';

/** Takes one line for each routing or placement decision and keeps the newest for `explain`. */
export interface DecisionLog {
  record(decision: RoutingDecision): void;
  /** Decisions of one request that are still held, oldest first. */
  listDecisions(requestId: string): readonly RoutingDecision[];
}
