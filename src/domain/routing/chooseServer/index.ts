/** Servers that may take a demand, as columns: a decision over hundreds stays cheap. */
export interface ScoredServers {
  /** Estimated time to the first token of each, in milliseconds. */
  readonly firstTokenMs: readonly number[];
  /** Requests at each as a part of its slots. */
  readonly load: readonly number[];
}

/**
 * Part by which estimates may differ and still count as equal: reports are late by a few hundred
 * milliseconds, so that the estimates are not better than this.
 */
const NEAR_PART = 0.25;

/** Least difference that counts, in milliseconds: the noise of a send on a busy VM. */
const NEAR_MS = 2;

/** Finds the position of the `rank`-th value that is not above the limit, or -1. */
function findNear(values: readonly number[], limit: number, rank: number): number {
  let rest = rank;
  return values.findIndex((value) => {
    if (value > limit) return false;
    rest -= 1;
    return rest < 0;
  });
}

/**
 * Chooses among servers by the best of two drawn from the near-best.
 *
 * All VMs hold the same late reports: if each took the one best server, all would pile on it.
 *
 * @param servers - servers that may take the demand, in any order
 * @param firstDraw - from 0 inclusive to 1 exclusive
 * @param secondDraw - from 0 inclusive to 1 exclusive
 * @returns position of the choice, or -1 if there is no server
 */
export function chooseServer(
  { firstTokenMs, load }: ScoredServers,
  firstDraw: number,
  secondDraw: number,
): number {
  const best = firstTokenMs.reduce((least, value) => (value < least ? value : least), Infinity);
  const limitMs = best + Math.max(NEAR_MS, best * NEAR_PART);
  const count = firstTokenMs.reduce((sum, value) => (value <= limitMs ? sum + 1 : sum), 0);
  const first = findNear(firstTokenMs, limitMs, Math.floor(firstDraw * count));
  const second = findNear(firstTokenMs, limitMs, Math.floor(secondDraw * count));
  const firstLoad = load[first] ?? 0;
  const secondLoad = load[second] ?? 0;
  if (firstLoad !== secondLoad) return firstLoad < secondLoad ? first : second;
  return (firstTokenMs[first] ?? 0) <= (firstTokenMs[second] ?? 0) ? first : second;
}
