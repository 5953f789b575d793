import { RefusalCode } from '../../../types';
import type { GenerationInput, GenerationState, Transition } from '../../types';
import { failGeneration } from '../failGeneration';
import { findAttempt } from '../findAttempt';
import { recoverGeneration } from '../recoverGeneration';
import { removeAttempt } from '../removeAttempt';

/** Delay after a refusal without one, in which servers may recover and slots become free. */
const DEFAULT_RETRY_AFTER_MS = 100;

/** HTTP status of a refusal after which a retry cannot succeed. */
const FINAL_STATUS = 403;
/** HTTP status of a refusal after which a retry may succeed. */
const RETRYABLE_STATUS = 503;

/**
 * Handles a refusal by routing.
 *
 * A generation that has not started fails at once, and so does one that no further server may
 * continue. One that has started is retried otherwise, since the cause may be temporary: a retry
 * budget or a queue that is exhausted after the loss of a zone.
 *
 * @param state - State of the generation.
 * @param input - Attempt and refusal.
 * @returns The failure, or a delayed retry.
 */
export const handleSlotRefused = (
  state: GenerationState,
  input: Extract<GenerationInput, { kind: 'slot-refused' }>,
): Transition => {
  const attempt = findAttempt(state, input.reader);
  if (!attempt) return { state, effects: [] };
  const remaining = removeAttempt(state, attempt);
  const { refusal } = input;
  const hasStarted = state.mayHaveStarted || state.offset > 0;
  const triedOthers = state.excludedServers.length > 0;
  const decide = (): Transition => {
    const isLast = remaining.attempts.length === 0;
    if (isLast && refusal.code === RefusalCode.AttemptsUsed) {
      return failGeneration(remaining, { ...refusal, status: RETRYABLE_STATUS });
    }
    if (isLast && !hasStarted && !triedOthers) {
      const status = refusal.retryAfterMs > 0 ? RETRYABLE_STATUS : FINAL_STATUS;
      return failGeneration(remaining, { ...refusal, status });
    }
    return recoverGeneration(remaining, {
      retryAfterMs: refusal.retryAfterMs || DEFAULT_RETRY_AFTER_MS,
    });
  };
  const next = decide();
  return {
    state: next.state,
    effects: [{ kind: 'cancel-attempt', attempt: attempt.attempt }, ...next.effects],
  };
};
