/** A server with what the choice compares. */
export interface ScoredServer {
  readonly index: number;
  readonly firstTokenMs: number;
  /** Requests there as a part of its slots. */
  readonly load: number;
}

/**
 * Part by which estimates may differ and still count as equal: reports are late by a few hundred
 * milliseconds, so that the estimates are not better than this.
 */
const NEAR_PART = 0.25;

/** Least difference that counts, in milliseconds: the noise of a send on a busy VM. */
const NEAR_MS = 2;

/**
 * Chooses among servers by the best of two drawn from the near-best.
 *
 * All VMs hold the same late reports: if each took the one best server, all would pile on it.
 *
 * @param servers - servers that may take the demand, in any order
 * @param firstDraw - from 0 inclusive to 1 exclusive
 * @param secondDraw - from 0 inclusive to 1 exclusive
 * @returns the choice, or null if there is no server
 */
export function chooseServer(
  servers: readonly ScoredServer[],
  firstDraw: number,
  secondDraw: number,
): ScoredServer | null {
  const best = servers.reduce((least, { firstTokenMs }) => Math.min(least, firstTokenMs), Infinity);
  const limitMs = best + Math.max(NEAR_MS, best * NEAR_PART);
  const near = servers.filter(({ firstTokenMs }) => firstTokenMs <= limitMs);
  const first = near[Math.floor(firstDraw * near.length)];
  const second = near[Math.floor(secondDraw * near.length)];
  if (first === undefined || second === undefined) return null;
  if (first.load === second.load) return first.firstTokenMs <= second.firstTokenMs ? first : second;
  return first.load < second.load ? first : second;
}
