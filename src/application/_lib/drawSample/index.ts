import type { Randomness } from '../../ports';

/** Draws a uniform random sample of up to `count` items, without replacement. */
export const drawSample = <T>(
  items: readonly T[],
  count: number,
  randomness: Randomness,
): readonly T[] =>
  items
    .map((item) => ({ item, order: randomness.readFraction() }))
    .sort((left, right) => left.order - right.order)
    .slice(0, count)
    .map(({ item }) => item);
