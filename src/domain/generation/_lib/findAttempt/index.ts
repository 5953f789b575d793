import type { Attempt, GenerationState, ReaderId } from '../../types';

/**
 * Finds the attempt with the given number and connection, if both are still current.
 *
 * This check keeps the tokens of two generations apart. A paused engine that resumes, or an
 * abandoned connection, still sends tokens whose offsets may fit; delivered, they would change the
 * text in the middle of an answer. Only the attempts in the state, over their newest connection,
 * may deliver.
 *
 * @param state - State of the generation.
 * @param reader - Attempt and connection from which an input arrived.
 * @returns The attempt, or null if the input is stale.
 */
export const findAttempt = (state: GenerationState, reader: ReaderId): Attempt | null =>
  state.attempts.find(
    ({ attempt, connection }) => attempt === reader.attempt && connection === reader.connection,
  ) ?? null;
