import type { QueuedDemand } from '../createDemandQueue';

/** The times of a demand, in milliseconds. */
export interface DemandTimes {
  readonly waitedMs: number;
  readonly goalLeftMs: number;
  readonly leftMs: number;
  /** Time from the call to the first event that callers accept. */
  readonly goalMs: number;
}

/** Shortest goal that is assumed where a demand's goal has long passed. */
const MIN_GOAL_MS = 1000;

/** Reads the times of a demand that are true now. */
export const readTimesAt = (
  { demand, renewedAtMs }: Pick<QueuedDemand, 'demand' | 'renewedAtMs'>,
  nowMs: number,
): DemandTimes => {
  const sinceMs = nowMs - renewedAtMs;
  return {
    waitedMs: demand.waitedMs + sinceMs,
    goalLeftMs: demand.goalLeftMs - sinceMs,
    leftMs: demand.leftMs - sinceMs,
    goalMs: Math.max(MIN_GOAL_MS, demand.goalLeftMs + demand.waitedMs),
  };
};
