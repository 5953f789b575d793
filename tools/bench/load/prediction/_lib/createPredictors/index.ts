import { PREDICTION_QUANTILE, predictOutputTokens } from '../../../../../../src/domain/prediction';
import type { Predictor } from '../../types';
import { predictFromBuckets } from '../predictFromBuckets';

/** Lengths needed before anything is predicted; before, the request's own limit is reserved. */
const LEAST_LENGTHS = 8;

const cap = (tokens: number, maxTokens: number): number => Math.min(maxTokens, Math.ceil(tokens));

function computeQuantile(lengths: readonly number[], part: number): number {
  const sorted = [...lengths].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0;
}

/** Creates a predictor that goes on by doubling what was too little. */
function createDoubling(
  name: string,
  predictFrom: (lengths: readonly number[], maxTokens: number) => number,
): Predictor {
  return {
    name,
    predict: (lengths, maxTokens) =>
      lengths.length < LEAST_LENGTHS ? maxTokens : cap(predictFrom(lengths, maxTokens), maxTokens),
    extend: (_, maxTokens, reserved) => cap(reserved * 2, maxTokens),
  };
}

/** Creates the ways that are compared. */
export function createPredictors(): readonly Predictor[] {
  return [
    createDoubling('fixed (limit of the request)', (_, maxTokens) => maxTokens),
    createDoubling('largest seen', (lengths) => Math.max(...lengths)),
    createDoubling(`quantile ${PREDICTION_QUANTILE * 100}% (in use)`, (tokens, maxTokens) =>
      predictOutputTokens({ tokens }, maxTokens),
    ),
    createDoubling('quantile 75%', (lengths) => computeQuantile(lengths, 0.75)),
    createDoubling('quantile 90%', (lengths) => computeQuantile(lengths, 0.9)),
    createDoubling('quantile 95%', (lengths) => computeQuantile(lengths, 0.95)),
    {
      name: 'exhaustive bucketing',
      predict: (lengths, maxTokens, draw) =>
        lengths.length < LEAST_LENGTHS
          ? maxTokens
          : cap(predictFromBuckets(lengths, 0, draw), maxTokens),
      extend: (lengths, maxTokens, reserved, draw) =>
        cap(predictFromBuckets(lengths, reserved, draw), maxTokens),
    },
  ];
}
