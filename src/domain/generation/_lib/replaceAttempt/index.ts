import type { Attempt, GenerationState, Transition } from '../../types';
import { recoverGeneration } from '../recoverGeneration';
import { removeAttempt } from '../removeAttempt';

/**
 * Gives up one attempt and goes on without it.
 *
 * @param state - Generation.
 * @param attempt - Attempt that can deliver nothing more.
 * @param options.retryAfterMs - Wait at least so long before the next one, if above 0.
 * @returns Its cancellation and the next step.
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
