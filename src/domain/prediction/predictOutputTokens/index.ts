import type { OutputLengthSamples } from '../types';

/**
 * Part of generations that the prediction covers. With more the reservations kept out more work
 * than they saved from eviction (docs/decisions, on the prediction of output lengths).
 */
export const PREDICTION_QUANTILE = 0.5;

/** Samples below which the limit of the request is all there is to go by. */
const LEAST_SAMPLES = 8;

/**
 * Predicts the output length of a generation from finished ones of its service and workspace.
 *
 * @param samples - lengths of finished generations
 * @param maxOutputTokens - the most that the request allows
 * @returns tokens, never more than the request allows
 */
export function predictOutputTokens(samples: OutputLengthSamples, maxOutputTokens: number): number {
  if (samples.tokens.length < LEAST_SAMPLES) return maxOutputTokens;
  const sorted = [...samples.tokens].sort((left, right) => left - right);
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * PREDICTION_QUANTILE));
  return Math.min(maxOutputTokens, sorted[index] ?? maxOutputTokens);
}
