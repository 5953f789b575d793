import type { Clock } from '../../../ports';

/** Knows since when streams of each service can't be begun in time. */
export interface OverloadTracker {
  /** Takes whether a new stream of the service could begin within its goal. */
  recordAdmission(service: string, isInTime: boolean): void;
  /** For how long it has been so that some can't, in milliseconds; 0 if all can. */
  readOverloadMs(service: string): number;
}

/** Without a stream that was late for this long, the overload is over. */
const OVER_MS = 1500;

interface Overload {
  readonly sinceMs: number;
  readonly lastMs: number;
}

/** Creates a watch that knows of no overload. */
export const createOverloadTracker = (clock: Pick<Clock, 'readMonotonicMs'>): OverloadTracker => {
  const overloads = new Map<string, Overload>();
  const find = (service: string): Overload | null => {
    const known = overloads.get(service);
    return known && clock.readMonotonicMs() - known.lastMs < OVER_MS ? known : null;
  };
  return {
    recordAdmission: (service, isInTime) => {
      if (isInTime) return;
      const nowMs = clock.readMonotonicMs();
      overloads.set(service, { sinceMs: find(service)?.sinceMs ?? nowMs, lastMs: nowMs });
    },
    readOverloadMs: (service) => {
      const known = find(service);
      return known ? clock.readMonotonicMs() - known.sinceMs : 0;
    },
  };
};
