import type { GapStatistics, SilenceLimits } from '../types';

/**
 * Shortest silence that raises a suspicion. A pause of the engine's scheduler, a garbage collection
 * or a lost packet (minimum retransmission timeout on Linux: 200 ms) causes shorter silences, too.
 */
const MIN_SUSPECT_MS = 200;

/** Shortest limit if other streams of the same server were confirmed as stuck. */
const MIN_DEAD_SERVER_MS = 60;

const MAX_SUSPECT_MS = 5_000;
const MEAN_FACTOR = 8;
const DEVIATION_FACTOR = 8;

/** A suspicion is confirmed after this many times its own limit. */
const CONFIRM_FACTOR = 2;

/** Gaps from which the statistics of a stream are used. */
export const MIN_GAPS = 4;

/**
 * Computes how long a stream may be silent, from its own gaps.
 *
 * @param gaps - gap statistics of the stream so far
 * @param options.isServerDead - true if other evidence says that the server is dead
 * @returns limits in milliseconds; both are equal if the server counts as dead
 *
 * @example
 * computeSilenceLimits({ count: 50, meanMs: 10, deviationMs: 1 }, { isServerDead: false });
 * // => { suspectMs: 200, confirmMs: 400 }
 */
export const computeSilenceLimits = (
  gaps: GapStatistics,
  options: { readonly isServerDead: boolean },
): SilenceLimits => {
  const ownMs =
    gaps.count < MIN_GAPS
      ? MAX_SUSPECT_MS
      : gaps.meanMs * MEAN_FACTOR + gaps.deviationMs * DEVIATION_FACTOR;
  if (options.isServerDead) {
    const deadServerMs = Math.max(MIN_DEAD_SERVER_MS, Math.min(ownMs, MIN_SUSPECT_MS));
    return { suspectMs: deadServerMs, confirmMs: deadServerMs };
  }
  const suspectMs = Math.min(MAX_SUSPECT_MS, Math.max(MIN_SUSPECT_MS, ownMs));
  return { suspectMs, confirmMs: suspectMs * CONFIRM_FACTOR };
};
