import type { GenerationState, Transition } from '../../types';
import { failGeneration } from '../failGeneration';
import { openAttempt } from '../openAttempt';

/**
 * Attempts in a row without a token before a generation fails. With the delays between them this
 * gives a zone that lost most of its engines about ten seconds to take the resumes in.
 */
const MAX_FRUITLESS_ATTEMPTS = 24;

/** Attempts that follow one another at once; later ones wait. */
const IMMEDIATE_ATTEMPTS = 4;

const RETRY_STEP_MS = 50;
const MAX_RETRY_DELAY_MS = 1_000;

const LOST = {
  code: 'generation_lost',
  status: 502,
  retryAfterMs: 0,
} as const;

const finishAtLimit = (state: GenerationState): Transition => ({
  state: { ...state, phase: 'finished', attempts: [] },
  effects: [{ kind: 'finish', finishReason: 'length' }],
});

const waitForRetry = (state: GenerationState, atLeastMs: number): Transition => {
  const steps = state.attemptsWithoutProgress - IMMEDIATE_ATTEMPTS + 1;
  const ownDelayMs = Math.min(MAX_RETRY_DELAY_MS, RETRY_STEP_MS * Math.max(1, steps));
  const delayMs = Math.min(MAX_RETRY_DELAY_MS, Math.max(atLeastMs, ownDelayMs));
  // All servers may be excluded by now: those that failed may serve again after the delay.
  return {
    state: { ...state, excludedServers: [] },
    effects: [{ kind: 'retry-later', delayMs }],
  };
};

/**
 * Goes on with a generation whose last attempt ended without its finish reason.
 *
 * @param state - Generation; nothing is done while it has an attempt left.
 * @param options.retryAfterMs - Wait at least so long, if above 0.
 * @returns The next attempt, a wait for it, or the end.
 */
export const recoverGeneration = (
  state: GenerationState,
  options: { readonly retryAfterMs?: number } = {},
): Transition => {
  if (state.attempts.length > 0 || state.phase !== 'running') return { state, effects: [] };
  const { policy } = state;
  // The engine died between its last token and the finish reason: there is nothing to generate.
  if (state.offset >= policy.maxOutputTokens) return finishAtLimit(state);
  if (!policy.continuable) {
    return failGeneration(state, {
      ...LOST,
      message: 'no copy of the generation is left: send the request and the tokens received',
    });
  }
  if (!policy.idempotent && state.mayHaveStarted) {
    return failGeneration(state, {
      ...LOST,
      message: 'the engine was lost, and the request may not be run again',
    });
  }
  if (state.callers === 0 && !policy.keyed) {
    return { state: { ...state, phase: 'parked' }, effects: [] };
  }
  const attemptsWithoutProgress = state.attemptsWithoutProgress + 1;
  if (attemptsWithoutProgress > MAX_FRUITLESS_ATTEMPTS) {
    return failGeneration(state, {
      code: 'no_engine',
      message: 'no engine took the generation over; it can be resumed from the last event',
      status: 503,
      retryAfterMs: MAX_RETRY_DELAY_MS,
    });
  }
  const next = { ...state, attemptsWithoutProgress: attemptsWithoutProgress };
  const mustWait = Boolean(options.retryAfterMs) || attemptsWithoutProgress > IMMEDIATE_ATTEMPTS;
  if (mustWait) return waitForRetry(next, options.retryAfterMs ?? 0);
  return openAttempt(next, state.mayHaveStarted || state.offset > 0 ? 'resume' : 'start');
};
