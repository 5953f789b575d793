import type { ServerRecord } from '../buildServerRecord';

/** Computes the time until the first server of a service takes requests again; 0 if none waits. */
export const computeShortestPauseMs = (
  records: readonly Pick<ServerRecord, 'entry' | 'pausedUntilMs' | 'rateLimitedUntilMs'>[],
  service: string,
  nowMs: number,
): number => {
  const pauses = records
    .filter(({ entry }) => entry.service === service)
    .map(({ pausedUntilMs, rateLimitedUntilMs }) => Math.max(rateLimitedUntilMs, pausedUntilMs))
    .map((untilMs) => untilMs - nowMs)
    .filter((pauseMs) => pauseMs > 0);
  return pauses.length === 0 ? 0 : Math.min(...pauses);
};
