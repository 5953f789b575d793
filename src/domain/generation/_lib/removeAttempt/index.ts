import type { Attempt, GenerationState } from '../../types';

/**
 * Removes an attempt that can deliver nothing more, and excludes its server until the next token.
 *
 * @param state - Generation.
 * @param attempt - Attempt to remove.
 * @returns State without it.
 */
export const removeAttempt = (state: GenerationState, attempt: Attempt): GenerationState => ({
  ...state,
  attempts: state.attempts.filter((other) => other.attempt !== attempt.attempt),
  excludedServers:
    attempt.backendServer && !state.excludedServers.includes(attempt.backendServer)
      ? [...state.excludedServers, attempt.backendServer]
      : state.excludedServers,
});
