import type { GenerationInput, GenerationState, Transition } from '../../types';
import { failGeneration } from '../failGeneration';
import { findAttempt } from '../findAttempt';
import { recoverGeneration } from '../recoverGeneration';
import { removeAttempt } from '../removeAttempt';

/** Wait after a refusal that names none: servers come back and slots free up meanwhile. */
const DEFAULT_RETRY_AFTER_MS = 100;

/** Statuses of refusals that coming back cannot help. */
const FINAL_STATUS = 403;
const RETRYABLE_STATUS = 503;

/**
 * Handles a refusal of the routing.
 *
 * A caller whose generation has not begun is told at once. One that has begun is worth waiting
 * for: the refusal may be a budget or a queue that is full for a moment after a zone was lost.
 *
 * @param state - Generation.
 * @param input - Attempt and refusal.
 * @returns The end, or a wait for the next attempt.
 */
export const handleSlotRefused = (
  state: GenerationState,
  input: Extract<GenerationInput, { kind: 'slot-refused' }>,
): Transition => {
  const attempt = findAttempt(state, input.reader);
  if (!attempt) return { state, effects: [] };
  const without = removeAttempt(state, attempt);
  const { refusal } = input;
  const hasBegun = state.mayHaveStarted || state.offset > 0;
  const triedOthers = state.excludedServers.length > 0;
  const decide = (): Transition => {
    if (without.attempts.length === 0 && !hasBegun && !triedOthers) {
      const status = refusal.retryAfterMs > 0 ? RETRYABLE_STATUS : FINAL_STATUS;
      return failGeneration(without, { ...refusal, status });
    }
    return recoverGeneration(without, {
      retryAfterMs: refusal.retryAfterMs || DEFAULT_RETRY_AFTER_MS,
    });
  };
  const next = decide();
  return {
    state: next.state,
    effects: [{ kind: 'cancel-attempt', attempt: attempt.attempt }, ...next.effects],
  };
};
