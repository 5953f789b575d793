import type { MessageContext } from 'roarr';
import type { DecisionLog } from '../../../application/ports';
import type { RoutingDecision } from '../../../domain/types';
import type { LineLogger } from '../createEventLog';

/** What a decision log needs. */
export interface DecisionLogDependencies {
  readonly logger: LineLogger;
  /** Called for each decision, for the metrics. */
  readonly onDecision?: (kind: RoutingDecision['kind']) => void;
}

/** Bounds of a decision log. */
export interface DecisionLogOptions {
  /** Decisions kept for `explain`; the oldest go first. Default 5000, about 3 MB. */
  readonly capacity?: number;
}

const DEFAULT_CAPACITY = 5000;

/** Creates the log of routing and placement decisions: one JSON line each, the newest kept. */
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
