/** Upper bound of the ratio: high speed must not compensate for other problems. */
const MAX_RATIO = 1.5;

/**
 * Computes the speed of a server relative to comparable ones.
 *
 * The ratio is relative to the median, which a single very slow or very fast server does not shift.
 *
 * @param rate - rate of the server, such as tokens per second of each running stream
 * @param others - rates of comparable servers in ascending order, with or without the server's own
 * @returns 1 for the median speed, and if there are too few servers to compare with
 */
export function computeSpeedRatio(rate: number, others: readonly number[]): number {
  if (others.length < 3) return 1;
  const median = others[Math.floor(others.length / 2)] ?? 0;
  return median > 0 ? Math.min(MAX_RATIO, rate / median) : 1;
}
