import type { Randomness } from '../../../../../../src/application/ports';

/** Draws the output length of the `index`-th of `count` requests, in tokens. */
type LengthPattern = (index: number, count: number, randomness: Randomness) => number;

function drawNormal(mean: number, deviation: number, randomness: Randomness): number {
  const radius = Math.sqrt(-2 * Math.log(1 - randomness.readFraction()));
  return mean + deviation * radius * Math.cos(2 * Math.PI * randomness.readFraction());
}

const drawReview: LengthPattern = (_, __, randomness) => drawNormal(900, 200, randomness);

/**
 * Patterns of lengths: reviews of similar dossiers, a long tail, two kinds of letters, and a
 * service whose answers become longer in mid-run, as after a new model version.
 */
export const LENGTH_PATTERNS: Readonly<Record<string, LengthPattern>> = {
  normal: drawReview,
  'long tail': (_, __, randomness) => 150 - Math.log(1 - randomness.readFraction()) * 450,
  'two kinds': (_, __, randomness) =>
    randomness.readFraction() < 0.7
      ? drawNormal(250, 60, randomness)
      : drawNormal(1500, 200, randomness),
  'change in mid-run': (index, count, randomness) =>
    drawReview(index, count, randomness) * (index < count / 2 ? 0.5 : 1.5),
};

/** Draws the lengths of a run, each at least one token and at most `maxTokens`. */
export function drawLengths(
  pattern: LengthPattern,
  count: number,
  maxTokens: number,
  randomness: Randomness,
): readonly number[] {
  return Array.from({ length: count }, (_, index) =>
    Math.max(1, Math.min(maxTokens, Math.round(pattern(index, count, randomness)))),
  );
}
