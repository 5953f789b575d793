import type { Attempt, GenerationState, ReaderId } from '../../types';

/**
 * Finds the attempt that a reader reads, if both are still current.
 *
 * This is the check that keeps two generations from being mixed: a paused engine that wakes, or a
 * connection that was given up, still sends tokens, and their offsets may well fit. They would show
 * as a change of text in mid-answer. Only attempts listed in the state, over their newest
 * connection, are heard.
 *
 * @param state - Generation.
 * @param reader - Attempt and connection that something arrived from.
 * @returns The attempt, or null if it is late.
 */
export const findAttempt = (state: GenerationState, reader: ReaderId): Attempt | null =>
  state.attempts.find(
    ({ attempt, connection }) => attempt === reader.attempt && connection === reader.connection,
  ) ?? null;
