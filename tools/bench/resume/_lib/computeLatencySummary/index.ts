import { build } from 'hdr-histogram-js';
import type { LatencySummary } from '../../types';

const US_PER_MS = 1000;

/** Computes percentiles of times in milliseconds; all are 0 for an empty list. */
export function computeLatencySummary(timesMs: readonly number[]): LatencySummary {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  timesMs.forEach((timeMs) => histogram.recordValue(Math.round(timeMs * US_PER_MS)));
  const readMs = (valueUs: number) => Math.round(valueUs / 100) / 10;
  return {
    p50: readMs(histogram.getValueAtPercentile(50)),
    p99: readMs(histogram.getValueAtPercentile(99)),
    max: readMs(histogram.maxValue),
  };
}
