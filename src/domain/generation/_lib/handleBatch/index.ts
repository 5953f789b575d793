import type { StreamChunk } from '../../../types';
import {
  AttemptPhase,
  type Attempt,
  type GenerationInput,
  type GenerationState,
  type Transition,
} from '../../types';
import { findAttempt } from '../findAttempt';
import { handleDisconnect } from '../handleDisconnect';

const countUnits = (chunk: StreamChunk): number =>
  'tokenIds' in chunk ? chunk.tokenIds.length : chunk.eventCount;

const buildStreamingAttempt = (attempt: Attempt): Attempt => ({
  ...attempt,
  phase: AttemptPhase.Streaming,
  silence: 'none',
  readsWithoutProgress: 0,
  hasDelivered: true,
});

const buildDeliveredState = (
  state: GenerationState,
  attempt: Attempt,
  batch: StreamChunk,
): GenerationState => ({
  ...state,
  phase: batch.finishReason === null ? state.phase : 'finished',
  offset: state.offset + countUnits(batch),
  attempts: batch.finishReason === null ? [buildStreamingAttempt(attempt)] : [],
  excludedServers: [],
  attemptsWithoutProgress: 0,
  crashes: 0,
  mayHaveStarted: true,
});

/**
 * Handles a batch. The first attempt that delivers the next token continues; all others are
 * cancelled.
 *
 * @param state - State of the generation.
 * @param input - Batch and its source.
 * @returns The delivery; the cancellation of a stale attempt; or, if the batch does not continue at
 *   the offset, the same as for a broken connection.
 */
export const handleBatch = (
  state: GenerationState,
  input: Extract<GenerationInput, { kind: 'batch' }>,
): Transition => {
  const { reader, batch } = input;
  const attempt = findAttempt(state, reader);
  if (!attempt) {
    const isGone = state.attempts.every((other) => other.attempt !== reader.attempt);
    return {
      state,
      effects: isGone ? [{ kind: 'cancel-attempt', attempt: reader.attempt }] : [],
    };
  }
  if (batch.offset !== state.offset) return handleDisconnect(state, { kind: 'broken', reader });
  // Engines open a stream with an event without tokens, which only shows that they are alive.
  if (countUnits(batch) === 0 && batch.finishReason === null) return { state, effects: [] };
  const others = state.attempts.filter((other) => other !== attempt);
  return {
    state: buildDeliveredState(state, attempt, batch),
    effects: [
      ...others.map((other) => ({ kind: 'cancel-attempt', attempt: other.attempt }) as const),
      { kind: 'deliver', attempt: attempt.attempt, batch },
      ...(batch.finishReason === null
        ? []
        : [{ kind: 'finish', finishReason: batch.finishReason } as const]),
    ],
  };
};
