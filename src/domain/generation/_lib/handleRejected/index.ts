import type { GenerationInput, GenerationState, Transition } from '../../types';
import { failGeneration } from '../failGeneration';
import { findAttempt } from '../findAttempt';

/**
 * Handles an engine that calls the request itself bad: no other engine is asked.
 *
 * @param state - Generation.
 * @param input - Status and message of the engine.
 * @returns The end.
 */
export const handleRejected = (
  state: GenerationState,
  input: Extract<GenerationInput, { kind: 'rejected' }>,
): Transition => {
  const attempt = findAttempt(state, input.reader);
  if (!attempt) return { state, effects: [] };
  return failGeneration(state, {
    code: 'invalid_request',
    message: input.message || 'the engine rejected the request',
    status: input.status,
    retryAfterMs: 0,
  });
};
