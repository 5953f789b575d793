import type { Clock } from '../../../ports';

/** Tracks since when new streams of each service cannot start in time. */
export interface OverloadTracker {
  /** Records whether a new stream of the service can start within its latency goal. */
  recordAdmission(service: string, isInTime: boolean): void;
  /** Duration of the current overload, in milliseconds; 0 without one. */
  readOverloadMs(service: string): number;
}

/** An overload ends after this time without a late stream. */
const OVERLOAD_TTL_MS = 1500;

interface Overload {
  readonly sinceMs: number;
  readonly lastLateMs: number;
}

/** Creates an overload tracker, with no overload known. */
export const createOverloadTracker = (clock: Pick<Clock, 'readMonotonicMs'>): OverloadTracker => {
  const overloads = new Map<string, Overload>();
  const find = (service: string): Overload | null => {
    const known = overloads.get(service);
    return known && clock.readMonotonicMs() - known.lastLateMs < OVERLOAD_TTL_MS ? known : null;
  };
  return {
    recordAdmission: (service, isInTime) => {
      if (isInTime) return;
      const nowMs = clock.readMonotonicMs();
      overloads.set(service, { sinceMs: find(service)?.sinceMs ?? nowMs, lastLateMs: nowMs });
    },
    readOverloadMs: (service) => {
      const known = find(service);
      return known ? clock.readMonotonicMs() - known.sinceMs : 0;
    },
  };
};
