import { updateMovingAverage, updateUndisturbedEstimate } from '../../../domain/load';
import { addOutputSample, predictOutputTokens } from '../../../domain/prediction';
import type { OutputLengthSamples } from '../../../domain/prediction';

/** Weight of a new sample in the moving averages: about the last ten requests count. */
const SAMPLE_WEIGHT = 0.1;

/** Hold time until the first request has finished: a few seconds, as for a short generation. */
const DEFAULT_HOLD_MS = 5000;

/** Prefill time until the first token was measured: a prompt of 4000 tokens takes 1 s. */
const DEFAULT_PREFILL_MS_PER_TOKEN = 0.25;

/** A lookup is hedged after this multiple of the average time to the first token. */
const HEDGE_FACTOR = 3;

/** Measurements of one ended attempt. */
export interface MeasuredAttempt {
  readonly service: string;
  readonly workspace: string;
  /** Group of comparable servers that the server belongs to. */
  readonly group: string;
  /** Time from send to end, in milliseconds. */
  readonly holdMs: number;
  /** Time from send to the first token, in milliseconds; 0 if no token came. */
  readonly firstTokenMs: number;
  readonly uncachedTokens: number;
  readonly outputTokens: number;
  /** True if the attempt completed, so that its duration and output length are complete. */
  readonly finished: boolean;
  /** True if the server had a free slot, so that `firstTokenMs` contains no queueing time. */
  readonly unqueued: boolean;
}

interface ServiceAverages {
  holdMs: number;
  firstTokenMs: number;
  prefillMsPerToken: number;
}

/** Statistics of ended attempts, from which the router estimates the next ones. */
export interface ServiceMeter {
  recordAttempt(attempt: MeasuredAttempt): void;
  /** Average time for which a request of the service holds a slot, in milliseconds. */
  readHoldMs(service: string): number;
  /** Prefill time per token at a group of servers; that at all servers until it is measured. */
  readPrefillMsPerToken(service: string, group: string): number;
  /** Time without a first token after which to hedge, in milliseconds; null if not measured. */
  estimateHedgeDelayMs(service: string): number | null;
  predictOutputTokens(service: string, workspace: string, maxOutputTokens: number): number;
}

/** Creates the service meter. */
export function createServiceMeter(): ServiceMeter {
  const averagesByService = new Map<string, ServiceAverages>();
  const groupPrefillsMsPerToken = new Map<string, number>();
  const outputSamples = new Map<string, OutputLengthSamples>();
  /** Cached predictions, before the output limit of a request; dropped by the next sample. */
  const predictions = new Map<string, number>();

  const readAverages = (service: string): ServiceAverages => {
    const averages = averagesByService.get(service) ?? {
      holdMs: 0,
      firstTokenMs: 0,
      prefillMsPerToken: 0,
    };
    averagesByService.set(service, averages);
    return averages;
  };
  const buildKey = (service: string, qualifier: string): string => `${service}\n${qualifier}`;

  return {
    recordAttempt: (attempt) => {
      const averages = readAverages(attempt.service);
      const { firstTokenMs } = attempt;
      if (firstTokenMs > 0 && attempt.unqueued) {
        const msPerToken = firstTokenMs / Math.max(1, attempt.uncachedTokens);
        averages.prefillMsPerToken = updateUndisturbedEstimate(
          averages.prefillMsPerToken,
          msPerToken,
        );
        const key = buildKey(attempt.service, attempt.group);
        const before = groupPrefillsMsPerToken.get(key) ?? 0;
        groupPrefillsMsPerToken.set(key, updateUndisturbedEstimate(before, msPerToken));
        averages.firstTokenMs = updateMovingAverage(
          averages.firstTokenMs,
          firstTokenMs,
          SAMPLE_WEIGHT,
        );
      }
      if (!attempt.finished) return;
      averages.holdMs = updateMovingAverage(averages.holdMs, attempt.holdMs, SAMPLE_WEIGHT);
      const key = buildKey(attempt.service, attempt.workspace);
      outputSamples.set(
        key,
        addOutputSample(outputSamples.get(key) ?? { tokens: [] }, attempt.outputTokens),
      );
      predictions.delete(key);
    },
    readHoldMs: (service) => averagesByService.get(service)?.holdMs || DEFAULT_HOLD_MS,
    readPrefillMsPerToken: (service, group) =>
      groupPrefillsMsPerToken.get(buildKey(service, group)) ||
      averagesByService.get(service)?.prefillMsPerToken ||
      DEFAULT_PREFILL_MS_PER_TOKEN,
    estimateHedgeDelayMs: (service) => {
      const averageMs = averagesByService.get(service)?.firstTokenMs ?? 0;
      return averageMs > 0 ? averageMs * HEDGE_FACTOR : null;
    },
    predictOutputTokens: (service, workspace, maxOutputTokens) => {
      const key = buildKey(service, workspace);
      const samples = outputSamples.get(key);
      if (samples === undefined) return maxOutputTokens;
      const predicted = predictions.get(key) ?? predictOutputTokens(samples, Infinity);
      predictions.set(key, predicted);
      return Math.min(maxOutputTokens, predicted);
    },
  };
}
