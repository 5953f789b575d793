import type { GenerationInput, GenerationState, Transition } from '../../types';
import { failGeneration } from '../failGeneration';
import { findAttempt } from '../findAttempt';

/**
 * Ends a generation whose request an engine rejected as invalid; no other engine is tried.
 *
 * @param state - State of the generation.
 * @param input - Status and message from the engine.
 * @returns The failure.
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
