import type { ServerQuality } from '../types';

/** Failure rate from which a server is ejected. */
const MAX_FAILURE_RATE = 0.5;

/** Speed relative to comparable servers below which a server is ejected. */
const MIN_SPEED = 0.25;

/** Highest fraction of the servers ejected at once: the others must carry the whole load. */
export const MAX_EJECTED_FRACTION = 0.2;

const FIRST_EJECTION_MS = 5000;
const MAX_EJECTION_MS = 60_000;

/** Failure rate and speed after an ejection: one more failure is enough for the next ejection. */
const RESET_FAILURES = 0.4;
const RESET_SPEED = 0.3;

/** A server that may be ejected. */
export interface EjectionCandidate {
  readonly name: string;
  readonly quality: ServerQuality;
}

/** Computes a score of failures and slowness; a server with 1 or more is ejected. */
function computeEjectionScore({ failures, speed }: ServerQuality): number {
  return Math.max(failures / MAX_FAILURE_RATE, MIN_SPEED / Math.max(speed, 0.001));
}

/**
 * Chooses the servers to eject now, worst first (outlier ejection).
 *
 * Ejections expire, and each one in a row lasts longer. A server gets work again after its
 * ejection, and is measured by it. If all servers are slow, the limit on ejections keeps most of
 * them in use.
 *
 * @param servers - all servers of one service, including those already ejected
 * @param nowMs - monotonic time, in milliseconds
 * @returns the servers to eject, each with its new quality
 */
export function chooseServersToEject(
  servers: readonly EjectionCandidate[],
  nowMs: number,
): readonly EjectionCandidate[] {
  const ejected = servers.filter(({ quality }) => quality.ejectedUntilMs > nowMs);
  const allowedEjections = Math.floor(servers.length * MAX_EJECTED_FRACTION) - ejected.length;
  if (allowedEjections <= 0) return [];
  return servers
    .filter(({ quality }) => quality.ejectedUntilMs <= nowMs && computeEjectionScore(quality) >= 1)
    .sort((left, right) => computeEjectionScore(right.quality) - computeEjectionScore(left.quality))
    .slice(0, allowedEjections)
    .map(({ name, quality }) => ({
      name,
      quality: {
        failures: Math.min(quality.failures, RESET_FAILURES),
        speed: Math.max(quality.speed, RESET_SPEED),
        ejectedUntilMs:
          nowMs + Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** quality.ejections),
        ejections: quality.ejections + 1,
      },
    }));
}
