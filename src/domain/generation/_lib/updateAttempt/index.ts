import type { Attempt, GenerationState } from '../../types';

/**
 * Replaces an attempt by a changed copy.
 *
 * @param state - Generation.
 * @param changed - Copy with the same attempt number.
 * @returns State with the copy in its place.
 */
export const updateAttempt = (state: GenerationState, changed: Attempt): GenerationState => ({
  ...state,
  attempts: state.attempts.map((other) => (other.attempt === changed.attempt ? changed : other)),
});
