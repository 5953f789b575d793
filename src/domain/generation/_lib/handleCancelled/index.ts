import type { GenerationState, Transition } from '../../types';
import { failGeneration } from '../failGeneration';

/** Non-standard status (nginx) for a cancelled request; its caller is unlikely to read it. */
const CLIENT_CLOSED_STATUS = 499;

/**
 * Ends a generation that its caller cancelled.
 *
 * @param state - State of the generation.
 * @returns Failed state, and the effects that cancel all attempts.
 */
export const handleCancelled = (state: GenerationState): Transition =>
  failGeneration(state, {
    code: 'cancelled',
    message: 'the generation was cancelled',
    status: CLIENT_CLOSED_STATUS,
    retryAfterMs: 0,
  });
