import type { PaceSample } from '../types';

/** By kind of work: the duration of one unit of it under usual conditions. */
const COMPUTE_BY_KIND: {
  readonly [Kind in PaceSample['kind']]: (sample: Extract<PaceSample, { kind: Kind }>) => number;
} = {
  prefill: ({ tokens, tookMs }) => tookMs / Math.max(1, tokens),
  decode: ({ tokens, tookMs }) => tookMs / Math.max(1, tokens),
  call: ({ tookMs, workFactor }) => tookMs / workFactor,
};

/**
 * Computes the pace that a sample shows: milliseconds for a token, or for a call.
 *
 * @example
 * computePaceValue({ kind: 'call', tookMs: 50, workFactor: 2.5 }); // 20
 */
export const computePaceValue = (sample: PaceSample): number =>
  (COMPUTE_BY_KIND[sample.kind] as (one: PaceSample) => number)(sample);
