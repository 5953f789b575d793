/** Ratio above which a server is just as good: being fast never makes up for other faults. */
const HIGHEST_RATIO = 1.5;

/**
 * Computes how fast a server is beside comparable ones.
 *
 * The median is used, so that one very slow or very fast server does not move the measure.
 *
 * @param rate - its rate, for example tokens a second for each running stream
 * @param others - rates of comparable servers, lowest first, with or without its own
 * @returns 1 for the usual speed, and if there are too few servers to compare with
 */
export function computeSpeedRatio(rate: number, others: readonly number[]): number {
  if (others.length < 3) return 1;
  const median = others[Math.floor(others.length / 2)] ?? 0;
  return median > 0 ? Math.min(HIGHEST_RATIO, rate / median) : 1;
}
