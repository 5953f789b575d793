import type { Attempt, GenerationState, Transition } from '../../types';
import { failGeneration } from '../failGeneration';
import { replaceAttempt } from '../replaceAttempt';

/** Engines that may end under a generation before its next token: it may be what ends them. */
const MAX_CRASHES = 3;

/**
 * Gives up an attempt whose engine ended, and goes on without it.
 *
 * @param state - Generation.
 * @param attempt - Attempt that was sent, and whose engine is not there or knows nothing of it.
 * @returns The next step; the end, if engine after engine ended without a token.
 */
export const replaceCrashedAttempt = (state: GenerationState, attempt: Attempt): Transition => {
  if (attempt.hasDelivered) return replaceAttempt(state, attempt);
  const crashes = state.crashes + 1;
  if (crashes < MAX_CRASHES) return replaceAttempt({ ...state, crashes }, attempt);
  return failGeneration(
    { ...state, crashes },
    {
      code: 'engines_crashed',
      message: `${crashes} engines ended as they ran this request: it is sent to no other`,
      status: 502,
      retryAfterMs: 0,
    },
  );
};
