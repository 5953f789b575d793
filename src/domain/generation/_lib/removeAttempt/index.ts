import type { Attempt, GenerationState } from '../../types';

/**
 * Removes an attempt that cannot deliver any more tokens, and excludes its server until the next
 * token.
 *
 * @param state - State of the generation.
 * @param attempt - Attempt to remove.
 * @returns State without the attempt.
 */
export const removeAttempt = (state: GenerationState, attempt: Attempt): GenerationState => ({
  ...state,
  attempts: state.attempts.filter((other) => other.attempt !== attempt.attempt),
  excludedServers:
    attempt.backendServer && !state.excludedServers.includes(attempt.backendServer)
      ? [...state.excludedServers, attempt.backendServer]
      : state.excludedServers,
});
