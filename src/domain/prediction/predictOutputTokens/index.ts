import type { OutputLengthSamples } from '../types';

/**
 * Fraction of generations whose length the prediction covers. With a higher quantile, reservations
 * kept out more work than they saved from eviction (docs/decisions, on the prediction of output
 * lengths).
 */
export const PREDICTION_QUANTILE = 0.5;

/** Minimum number of samples for a prediction; with fewer, the limit of the request is used. */
const MIN_SAMPLES = 8;

/**
 * Predicts the output length of a generation from finished generations of its service and
 * workspace.
 *
 * @param samples - lengths of finished generations
 * @param maxOutputTokens - limit of the request
 * @returns predicted tokens, at most the limit of the request
 */
export function predictOutputTokens(samples: OutputLengthSamples, maxOutputTokens: number): number {
  if (samples.tokens.length < MIN_SAMPLES) return maxOutputTokens;
  const sorted = [...samples.tokens].sort((left, right) => left - right);
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * PREDICTION_QUANTILE));
  return Math.min(maxOutputTokens, sorted[index] ?? maxOutputTokens);
}
