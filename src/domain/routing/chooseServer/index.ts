/** Candidate servers in columns, which keeps a choice among hundreds cheap. */
export interface ScoredServers {
  /** Estimated time to the first token on each server, in milliseconds. */
  readonly firstTokenMs: readonly number[];
  /** Requests on each server as a fraction of its slots. */
  readonly load: readonly number[];
}

/**
 * Relative tolerance within which estimates count as equal. The reports are a few hundred
 * milliseconds old, so that the estimates are not more accurate than this.
 */
const RELATIVE_TOLERANCE = 0.25;

/** Absolute tolerance in milliseconds: the jitter of sending on a busy VM. */
const TOLERANCE_MS = 2;

/** Finds the position of the `rank`-th value (from 0) that is not above the limit, or -1. */
function findRankedWithin(values: readonly number[], limit: number, rank: number): number {
  let remaining = rank;
  return values.findIndex((value) => {
    if (value > limit) return false;
    remaining -= 1;
    return remaining < 0;
  });
}

/**
 * Chooses the less loaded of two random servers among those with nearly the best estimate (power of
 * two choices).
 *
 * All VMs hold the same outdated reports: if each took the single best server, all would overload
 * it.
 *
 * @param servers - candidate servers, in any order
 * @param firstDraw - random number, from 0 inclusive to 1 exclusive
 * @param secondDraw - random number, from 0 inclusive to 1 exclusive
 * @returns position of the chosen server, or -1 if there is none
 */
export function chooseServer(
  { firstTokenMs, load }: ScoredServers,
  firstDraw: number,
  secondDraw: number,
): number {
  const best = firstTokenMs.reduce((least, value) => (value < least ? value : least), Infinity);
  const limitMs = best + Math.max(TOLERANCE_MS, best * RELATIVE_TOLERANCE);
  const count = firstTokenMs.reduce((sum, value) => (value <= limitMs ? sum + 1 : sum), 0);
  const first = findRankedWithin(firstTokenMs, limitMs, Math.floor(firstDraw * count));
  const second = findRankedWithin(firstTokenMs, limitMs, Math.floor(secondDraw * count));
  const firstLoad = load[first] ?? 0;
  const secondLoad = load[second] ?? 0;
  if (firstLoad !== secondLoad) return firstLoad < secondLoad ? first : second;
  return (firstTokenMs[first] ?? 0) <= (firstTokenMs[second] ?? 0) ? first : second;
}
