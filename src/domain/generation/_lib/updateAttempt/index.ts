import type { Attempt, GenerationState } from '../../types';

/**
 * Replaces an attempt with a changed copy.
 *
 * @param state - State of the generation.
 * @param changed - Copy with the same attempt number.
 * @returns New state.
 */
export const updateAttempt = (state: GenerationState, changed: Attempt): GenerationState => ({
  ...state,
  attempts: state.attempts.map((other) => (other.attempt === changed.attempt ? changed : other)),
});
