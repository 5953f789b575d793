import type { Randomness } from '../../../ports';

/** Draws up to `count` different items at random, each as likely as any other. */
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
