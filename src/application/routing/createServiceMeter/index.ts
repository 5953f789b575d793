import { updateMovingAverage, updateUndisturbedEstimate } from '../../../domain/load';
import { addOutputSample, predictOutputTokens } from '../../../domain/prediction';
import type { OutputLengthSamples } from '../../../domain/prediction';

/** Weight of a new measure: about the last ten requests count. */
const MEASURE_WEIGHT = 0.1;

/** Assumed until the first request has finished: a few seconds, as for a short generation. */
const UNMEASURED_HOLD_MS = 5000;

/** Assumed until the first token was seen: a prompt of 4000 tokens takes 1 s. */
const UNMEASURED_PREFILL_MS = 0.25;

/** Time to the first token beyond which a lookup is hedged, as a multiple of the usual time. */
const HEDGE_FACTOR = 3;

/** One ended attempt, as the meter takes it. */
export interface MeasuredAttempt {
  readonly service: string;
  readonly workspace: string;
  /** Group of comparable servers to which the server belongs. */
  readonly group: string;
  /** From the send to the end, in milliseconds. */
  readonly holdMs: number;
  /** 0 if no token came. */
  readonly firstTokenMs: number;
  readonly uncachedTokens: number;
  readonly outputTokens: number;
  /** True: it ended as it should, so that its length is a whole one. */
  readonly finished: boolean;
  /** True: the server had a free slot, so that the first token was not waited for in a queue. */
  readonly unqueued: boolean;
}

interface ServiceMeasures {
  holdMs: number;
  firstTokenMs: number;
  prefillMsPerToken: number;
}

/** Measures of finished work by which the next is judged. */
export interface ServiceMeter {
  recordAttempt(attempt: MeasuredAttempt): void;
  /** Mean time for which a request of the service holds a slot, in milliseconds. */
  readHoldMs(service: string): number;
  /** Prefill time of the service at a group of servers; at all servers until it is known. */
  readPrefillMsPerToken(service: string, group: string): number;
  /** Time to the first token after which a hedge pays, in milliseconds; null before any measure. */
  estimateHedgeDelayMs(service: string): number | null;
  predictOutputTokens(service: string, workspace: string, maxOutputTokens: number): number;
}

/** Creates the meter of services. */
export function createServiceMeter(): ServiceMeter {
  const measures = new Map<string, ServiceMeasures>();
  const groupPrefills = new Map<string, number>();
  const samples = new Map<string, OutputLengthSamples>();
  /** Predictions without the limit of a request, until the next sample. */
  const predictions = new Map<string, number>();

  const readMeasures = (service: string): ServiceMeasures => {
    const held = measures.get(service) ?? { holdMs: 0, firstTokenMs: 0, prefillMsPerToken: 0 };
    measures.set(service, held);
    return held;
  };
  const buildKey = (service: string, other: string): string => `${service}\n${other}`;

  return {
    recordAttempt: (attempt) => {
      const held = readMeasures(attempt.service);
      const { firstTokenMs } = attempt;
      if (firstTokenMs > 0 && attempt.unqueued) {
        const perToken = firstTokenMs / Math.max(1, attempt.uncachedTokens);
        held.prefillMsPerToken = updateUndisturbedEstimate(held.prefillMsPerToken, perToken);
        const key = buildKey(attempt.service, attempt.group);
        const before = groupPrefills.get(key) ?? 0;
        groupPrefills.set(key, updateUndisturbedEstimate(before, perToken));
        held.firstTokenMs = updateMovingAverage(held.firstTokenMs, firstTokenMs, MEASURE_WEIGHT);
      }
      if (!attempt.finished) return;
      held.holdMs = updateMovingAverage(held.holdMs, attempt.holdMs, MEASURE_WEIGHT);
      const key = buildKey(attempt.service, attempt.workspace);
      samples.set(key, addOutputSample(samples.get(key) ?? { tokens: [] }, attempt.outputTokens));
      predictions.delete(key);
    },
    readHoldMs: (service) => measures.get(service)?.holdMs || UNMEASURED_HOLD_MS,
    readPrefillMsPerToken: (service, group) =>
      groupPrefills.get(buildKey(service, group)) ||
      measures.get(service)?.prefillMsPerToken ||
      UNMEASURED_PREFILL_MS,
    estimateHedgeDelayMs: (service) => {
      const usualMs = measures.get(service)?.firstTokenMs ?? 0;
      return usualMs > 0 ? usualMs * HEDGE_FACTOR : null;
    },
    predictOutputTokens: (service, workspace, maxOutputTokens) => {
      const key = buildKey(service, workspace);
      const held = samples.get(key);
      if (held === undefined) return maxOutputTokens;
      const predicted = predictions.get(key) ?? predictOutputTokens(held, Infinity);
      predictions.set(key, predicted);
      return Math.min(maxOutputTokens, predicted);
    },
  };
}
