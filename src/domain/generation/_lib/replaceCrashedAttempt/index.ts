import type { Attempt, GenerationState, Transition } from '../../types';
import { failGeneration } from '../failGeneration';
import { replaceAttempt } from '../replaceAttempt';

/** Engines that may crash before the next token; beyond this, the request may be the cause. */
const MAX_CRASHES = 3;

/**
 * Abandons an attempt whose engine crashed, and continues the generation on another engine.
 *
 * @param state - State of the generation.
 * @param attempt - Sent attempt whose engine is gone or no longer knows the stream.
 * @returns The next step; a failure if `MAX_CRASHES` engines crashed without a token.
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
