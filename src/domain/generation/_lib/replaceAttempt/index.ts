import type { Attempt, GenerationState, Transition } from '../../types';
import { recoverGeneration } from '../recoverGeneration';
import { removeAttempt } from '../removeAttempt';

/**
 * Abandons an attempt and continues the generation without it.
 *
 * @param state - State of the generation.
 * @param attempt - Attempt that cannot deliver any more tokens.
 * @param options.retryAfterMs - Minimum delay before the next attempt, if greater than 0.
 * @returns The cancellation of the attempt and the next step.
 */
export const replaceAttempt = (
  state: GenerationState,
  attempt: Attempt,
  options: { readonly retryAfterMs?: number } = {},
): Transition => {
  const next = recoverGeneration(removeAttempt(state, attempt), options);
  return {
    state: next.state,
    effects: [{ kind: 'cancel-attempt', attempt: attempt.attempt }, ...next.effects],
  };
};
