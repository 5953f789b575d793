import type { MessageContext } from 'roarr';
import type { DecisionLog } from '../../../application/ports';
import type { RoutingDecision } from '../../../domain/types';
import type { LineLogger } from '../createEventLog';

/** Dependencies of the decision log. */
export interface DecisionLogDependencies {
  readonly logger: LineLogger;
  /** Called for each decision, for the metrics. */
  readonly onDecision?: (kind: RoutingDecision['kind']) => void;
}

/** Options of the decision log. */
export interface DecisionLogOptions {
  /** Number of newest decisions kept for `explain`. Default 5000, about 3 MB. */
  readonly capacity?: number;
}

const DEFAULT_CAPACITY = 5000;

/**
 * Creates the log of routing and placement decisions. Each decision is logged as one JSON line, and
 * the newest decisions are kept in memory.
 */
export const createDecisionLog = (
  { logger, onDecision }: DecisionLogDependencies,
  options: DecisionLogOptions = {},
): DecisionLog => {
  const capacity = options.capacity ?? DEFAULT_CAPACITY;
  const decisions: RoutingDecision[] = [];
  let nextIndex = 0;

  return {
    record: (decision) => {
      decisions[nextIndex] = decision;
      nextIndex = (nextIndex + 1) % capacity;
      onDecision?.(decision.kind);
      logger.info({ decision: decision as unknown as MessageContext }, decision.kind);
    },
    listDecisions: (requestId) =>
      [...decisions.slice(nextIndex), ...decisions.slice(0, nextIndex)].filter(
        (decision) => decision.requestId === requestId,
      ),
  };
};
