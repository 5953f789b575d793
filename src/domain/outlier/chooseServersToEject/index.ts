import type { ServerQuality } from '../types';

/** Failed part of attempts from which a server gets no work. */
const FAILURES_LIMIT = 0.5;

/** Speed beside comparable servers below which a server gets no work. */
const SPEED_LIMIT = 0.25;

/** Most of the servers ejected at once: the rest must carry the load that is moved to it. */
export const MAX_EJECTED_FRACTION = 0.2;

const FIRST_EJECTION_MS = 5000;
const LONGEST_EJECTION_MS = 60_000;

/** What is kept of the bad signs by an ejection: one more failure is enough for the next one. */
const KEPT_FAILURES = 0.4;
const KEPT_SPEED = 0.3;

/** A server that may be ejected. */
export interface EjectionCandidate {
  readonly name: string;
  readonly quality: ServerQuality;
}

/** Measures how bad a server is; 1 or more is bad enough to be ejected. */
function computeBadness({ failures, speed }: ServerQuality): number {
  return Math.max(failures / FAILURES_LIMIT, SPEED_LIMIT / Math.max(speed, 0.001));
}

/**
 * Chooses which servers to eject now, the worst first.
 *
 * Ejections end by time, each longer than the one before; a server that comes back gets work again
 * and is judged by it. With all servers slow, the bound leaves most of them serving.
 *
 * @param servers - all servers of one service, those already ejected among them
 * @param nowMs - monotonic time, in milliseconds
 * @returns the servers to eject, each with its new quality
 */
export function chooseServersToEject(
  servers: readonly EjectionCandidate[],
  nowMs: number,
): readonly EjectionCandidate[] {
  const ejected = servers.filter(({ quality }) => quality.ejectedUntilMs > nowMs);
  const room = Math.floor(servers.length * MAX_EJECTED_FRACTION) - ejected.length;
  if (room <= 0) return [];
  return servers
    .filter(({ quality }) => quality.ejectedUntilMs <= nowMs && computeBadness(quality) >= 1)
    .sort((left, right) => computeBadness(right.quality) - computeBadness(left.quality))
    .slice(0, room)
    .map(({ name, quality }) => ({
      name,
      quality: {
        failures: Math.min(quality.failures, KEPT_FAILURES),
        speed: Math.max(quality.speed, KEPT_SPEED),
        ejectedUntilMs:
          nowMs + Math.min(LONGEST_EJECTION_MS, FIRST_EJECTION_MS * 2 ** quality.ejections),
        ejections: quality.ejections + 1,
      },
    }));
}
