import type { StreamDemand } from '../../../../../domain/scheduling';
import type { QueuedDemand } from '../createDemandQueue';
import { readTimesAt, type DemandTimes } from '../readTimesAt';

/** A demand with the goal of its route. */
export type DemandAt = DemandTimes & StreamDemand;

/** Reads a demand with the durations that are true now. */
export const readDemandAt = (
  entry: Pick<QueuedDemand, 'demand' | 'renewedAtMs'>,
  nowMs: number,
): DemandAt => ({ ...entry.demand, ...readTimesAt(entry, nowMs) });
