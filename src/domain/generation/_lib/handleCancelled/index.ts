import type { GenerationState, Transition } from '../../types';
import { failGeneration } from '../failGeneration';

/** Status for a request that its caller gave up; nobody is likely to read it. */
const CLIENT_CLOSED_STATUS = 499;

/**
 * Handles a caller that gave the generation up.
 *
 * @param state - Generation.
 * @returns The end; all attempts are cancelled.
 */
export const handleCancelled = (state: GenerationState): Transition =>
  failGeneration(state, {
    code: 'cancelled',
    message: 'the generation was cancelled',
    status: CLIENT_CLOSED_STATUS,
    retryAfterMs: 0,
  });
