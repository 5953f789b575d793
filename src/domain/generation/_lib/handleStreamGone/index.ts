import type { GenerationInput, GenerationState, Transition } from '../../types';
import { findAttempt } from '../findAttempt';
import { replaceCrashedAttempt } from '../replaceCrashedAttempt';

/**
 * Handles a stream that its engine no longer has, for example because it was restarted.
 *
 * @param state - Generation.
 * @param input - Where it was asked for.
 * @returns The next step.
 */
export const handleStreamGone = (
  state: GenerationState,
  input: Extract<GenerationInput, { kind: 'stream-gone' }>,
): Transition => {
  const attempt = findAttempt(state, input.reader);
  return attempt ? replaceCrashedAttempt(state, attempt) : { state, effects: [] };
};
