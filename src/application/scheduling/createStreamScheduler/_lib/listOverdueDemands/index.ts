import type { ServerPace } from '../../../../../domain/paces';
import { computeRunMs, START_MARGIN_MS } from '../../../../../domain/scheduling';
import type { QueuedDemand } from '../createDemandQueue';
import { readTimesAt } from '../readTimesAt';

/**
 * Lists the demands that can no longer begin within their goal, or no longer end in time. Streams
 * that lost their server are not refused.
 */
export const listOverdueDemands = (
  entries: readonly QueuedDemand[],
  servicePace: ServerPace,
  nowMs: number,
): readonly QueuedDemand[] =>
  entries.filter((entry) => {
    if (entry.isResumed) return false;
    const { goalLeftMs, goalMs, leftMs } = readTimesAt(entry, nowMs);
    const { outputTokens, promptTokens } = entry.demand;
    const options = { goalMs, outputTokens, promptTokens, runs: 1 };
    const { prefillMs, runMs } = computeRunMs(servicePace, options);
    return leftMs < runMs || (!entry.isLate && goalLeftMs < prefillMs + START_MARGIN_MS);
  });
