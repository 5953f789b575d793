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

const countUnits = (piece: StreamChunk): number =>
  'tokenIds' in piece ? piece.tokenIds.length : piece.eventCount;

const buildStreaming = (attempt: Attempt): Attempt => ({
  ...attempt,
  phase: AttemptPhase.Streaming,
  silence: 'none',
  readsWithoutProgress: 0,
  hasDelivered: true,
});

const buildDelivered = (
  state: GenerationState,
  attempt: Attempt,
  batch: StreamChunk,
): GenerationState => ({
  ...state,
  phase: batch.finishReason === null ? state.phase : 'finished',
  offset: state.offset + countUnits(batch),
  attempts: batch.finishReason === null ? [buildStreaming(attempt)] : [],
  excludedServers: [],
  attemptsWithoutProgress: 0,
  crashes: 0,
  mayHaveStarted: true,
});

/**
 * Takes a batch: the first attempt to deliver the next token goes on, all others are cancelled.
 *
 * @param state - Generation.
 * @param input - Batch and where it came from.
 * @returns The delivery; or the cancellation of a late attempt; or the break of one that skips.
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
  // An engine opens a stream with an event without tokens; it is a sign of life only.
  if (countUnits(batch) === 0 && batch.finishReason === null) return { state, effects: [] };
  const others = state.attempts.filter((other) => other !== attempt);
  return {
    state: buildDelivered(state, attempt, batch),
    effects: [
      ...others.map((other) => ({ kind: 'cancel-attempt', attempt: other.attempt }) as const),
      { kind: 'deliver', attempt: attempt.attempt, batch },
      ...(batch.finishReason === null
        ? []
        : [{ kind: 'finish', finishReason: batch.finishReason } as const]),
    ],
  };
};
