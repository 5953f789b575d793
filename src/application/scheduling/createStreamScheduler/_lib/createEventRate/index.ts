/** Counts events of the last seconds. */
export interface EventRate {
  record(atMs: number): void;
  /** Counts the events of the window that ends now, without those before `sinceMs`. */
  count(nowMs: number, sinceMs?: number): number;
  /** Events per second over the window, or since the first event if that is later. */
  readPerS(nowMs: number): number;
}

const MS_PER_S = 1000;

/** Shortest time over which a rate is computed, as a fraction of the window. */
const MIN_SPAN_FRACTION = 0.5;

/** Creates a counter of the events in a sliding window. */
export const createEventRate = (windowMs: number): EventRate => {
  let times: number[] = [];
  let firstAtMs: number | null = null;
  const removeOld = (nowMs: number): void => {
    const firstKept = times.findIndex((atMs) => atMs > nowMs - windowMs);
    if (firstKept !== 0) times = firstKept < 0 ? [] : times.slice(firstKept);
  };
  return {
    record: (atMs) => {
      firstAtMs ??= atMs;
      times.push(atMs);
    },
    count: (nowMs, sinceMs = -Infinity) => {
      removeOld(nowMs);
      return times.filter((atMs) => atMs >= sinceMs).length;
    },
    readPerS: (nowMs) => {
      removeOld(nowMs);
      const sinceFirstMs = nowMs - (firstAtMs ?? nowMs);
      const spanMs = Math.min(windowMs, Math.max(windowMs * MIN_SPAN_FRACTION, sinceFirstMs));
      // A single event says nothing about the rate.
      return (Math.max(0, times.length - 1) * MS_PER_S) / spanMs;
    },
  };
};
