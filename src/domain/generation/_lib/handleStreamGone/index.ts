import type { GenerationInput, GenerationState, Transition } from '../../types';
import { findAttempt } from '../findAttempt';
import { replaceCrashedAttempt } from '../replaceCrashedAttempt';

/**
 * Handles a stream that its engine no longer has, for example after a restart.
 *
 * @param state - State of the generation.
 * @param input - Attempt and connection that requested the stream.
 * @returns The next step.
 */
export const handleStreamGone = (
  state: GenerationState,
  input: Extract<GenerationInput, { kind: 'stream-gone' }>,
): Transition => {
  const attempt = findAttempt(state, input.reader);
  return attempt ? replaceCrashedAttempt(state, attempt) : { state, effects: [] };
};
