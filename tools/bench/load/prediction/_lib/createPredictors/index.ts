import { PREDICTION_QUANTILE, predictOutputTokens } from '../../../../../../src/domain/prediction';
import type { Predictor } from '../../types';
import { predictFromBuckets } from '../predictFromBuckets';

/** Least number of lengths to predict from; with fewer, the request's own limit is reserved. */
const MIN_LENGTHS = 8;

const limitTokens = (tokens: number, maxTokens: number): number =>
  Math.min(maxTokens, Math.ceil(tokens));

function computeQuantile(lengths: readonly number[], part: number): number {
  const sorted = [...lengths].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0;
}

/** Creates a predictor that extends a reservation by doubling it. */
function createDoublingPredictor(
  name: string,
  predictFrom: (lengths: readonly number[], maxTokens: number) => number,
): Predictor {
  return {
    name,
    predict: (lengths, maxTokens) =>
      lengths.length < MIN_LENGTHS
        ? maxTokens
        : limitTokens(predictFrom(lengths, maxTokens), maxTokens),
    extend: (_, maxTokens, reserved) => limitTokens(reserved * 2, maxTokens),
  };
}

/** Creates the predictors to compare. */
export function createPredictors(): readonly Predictor[] {
  return [
    createDoublingPredictor('fixed (limit of the request)', (_, maxTokens) => maxTokens),
    createDoublingPredictor('largest seen', (lengths) => Math.max(...lengths)),
    createDoublingPredictor(
      `quantile ${PREDICTION_QUANTILE * 100}% (in use)`,
      (tokens, maxTokens) => predictOutputTokens({ tokens }, maxTokens),
    ),
    createDoublingPredictor('quantile 75%', (lengths) => computeQuantile(lengths, 0.75)),
    createDoublingPredictor('quantile 90%', (lengths) => computeQuantile(lengths, 0.9)),
    createDoublingPredictor('quantile 95%', (lengths) => computeQuantile(lengths, 0.95)),
    {
      name: 'exhaustive bucketing',
      predict: (lengths, maxTokens, draw) =>
        lengths.length < MIN_LENGTHS
          ? maxTokens
          : limitTokens(predictFromBuckets(lengths, 0, draw), maxTokens),
      extend: (lengths, maxTokens, reserved, draw) =>
        limitTokens(predictFromBuckets(lengths, reserved, draw), maxTokens),
    },
  ];
}
