import type { StreamDemand } from '../../../../../domain/scheduling';
import type { QueuedDemand } from '../createDemandQueue';

/** A demand with the goal of its route. */
export interface DemandAt extends StreamDemand {
  /** Time from the call to the first event that callers accept. */
  readonly goalMs: number;
}

/** Shortest goal that is assumed where a demand's goal has long passed. */
const MIN_GOAL_MS = 1000;

/** Reads a demand with the durations that are true now. */
export const readDemandAt = (
  { demand, renewedAtMs }: Pick<QueuedDemand, 'demand' | 'renewedAtMs'>,
  nowMs: number,
): DemandAt => {
  const sinceMs = nowMs - renewedAtMs;
  return {
    ...demand,
    waitedMs: demand.waitedMs + sinceMs,
    goalLeftMs: demand.goalLeftMs - sinceMs,
    leftMs: demand.leftMs - sinceMs,
    goalMs: Math.max(MIN_GOAL_MS, demand.goalLeftMs + demand.waitedMs),
  };
};
