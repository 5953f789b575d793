import type { GenerationState, Transition } from '../../types';
import { failGeneration } from '../failGeneration';
import { openAttempt } from '../openAttempt';

/**
 * Consecutive attempts without a token before a generation fails. With the delays between them, a
 * zone that lost most of its engines has about ten seconds to accept the resumed generations.
 */
const MAX_ATTEMPTS_WITHOUT_PROGRESS = 24;

/** Attempts that are made without a delay. */
const IMMEDIATE_ATTEMPTS = 4;

const RETRY_STEP_MS = 50;
const MAX_RETRY_DELAY_MS = 1_000;

const LOST_GENERATION = {
  code: 'generation_lost',
  status: 502,
  retryAfterMs: 0,
} as const;

const finishAtLimit = (state: GenerationState): Transition => ({
  state: { ...state, phase: 'finished', attempts: [] },
  effects: [{ kind: 'finish', finishReason: 'length' }],
});

const waitForRetry = (state: GenerationState, minDelayMs: number): Transition => {
  const steps = state.attemptsWithoutProgress - IMMEDIATE_ATTEMPTS + 1;
  const backoffMs = Math.min(MAX_RETRY_DELAY_MS, RETRY_STEP_MS * Math.max(1, steps));
  const delayMs = Math.min(MAX_RETRY_DELAY_MS, Math.max(minDelayMs, backoffMs));
  // All servers may be excluded by now; those that failed may serve again after the delay.
  return {
    state: { ...state, excludedServers: [] },
    effects: [{ kind: 'retry-later', delayMs }],
  };
};

/**
 * Continues a generation whose last attempt ended without a finish reason.
 *
 * @param state - State of the generation; unchanged while it has other attempts.
 * @param options.retryAfterMs - Minimum delay before the next attempt, if greater than 0.
 * @returns The next attempt, a delayed retry, or the end of the generation.
 */
export const recoverGeneration = (
  state: GenerationState,
  options: { readonly retryAfterMs?: number } = {},
): Transition => {
  if (state.attempts.length > 0 || state.phase !== 'running') return { state, effects: [] };
  const { policy } = state;
  // The engine failed between the last token and the finish reason: nothing is left to generate.
  if (state.offset >= policy.maxOutputTokens) return finishAtLimit(state);
  if (!policy.continuable) {
    return failGeneration(state, {
      ...LOST_GENERATION,
      message: 'no copy of the generation is left: send the request and the tokens received',
    });
  }
  if (!policy.idempotent && state.mayHaveStarted) {
    return failGeneration(state, {
      ...LOST_GENERATION,
      message: 'the engine failed, and the request is not idempotent, so it is not run again',
    });
  }
  if (state.callers === 0 && !policy.keyed) {
    return { state: { ...state, phase: 'parked' }, effects: [] };
  }
  const attemptsWithoutProgress = state.attemptsWithoutProgress + 1;
  if (attemptsWithoutProgress > MAX_ATTEMPTS_WITHOUT_PROGRESS) {
    return failGeneration(state, {
      code: 'no_engine',
      message: 'no engine could continue the generation; it can be resumed from the last event',
      status: 503,
      retryAfterMs: MAX_RETRY_DELAY_MS,
    });
  }
  const next = { ...state, attemptsWithoutProgress };
  const mustWait = Boolean(options.retryAfterMs) || attemptsWithoutProgress > IMMEDIATE_ATTEMPTS;
  if (mustWait) return waitForRetry(next, options.retryAfterMs ?? 0);
  return openAttempt(next, state.mayHaveStarted || state.offset > 0 ? 'resume' : 'start');
};
