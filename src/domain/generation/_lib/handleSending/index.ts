import {
  AttemptPhase,
  type GenerationInput,
  type GenerationState,
  type Transition,
} from '../../types';
import { findAttempt } from '../findAttempt';
import { updateAttempt } from '../updateAttempt';

/**
 * Handles that an attempt has its slot and is about to be sent.
 *
 * @param state - Generation.
 * @param input - Attempt and its server.
 * @returns State with the attempt in prefill; an attempt given up since is cancelled.
 */
export const handleSending = (
  state: GenerationState,
  input: Extract<GenerationInput, { kind: 'sending' }>,
): Transition => {
  const attempt = findAttempt(state, input.reader);
  if (!attempt) {
    return { state, effects: [{ kind: 'cancel-attempt', attempt: input.reader.attempt }] };
  }
  const sending = {
    ...attempt,
    phase: AttemptPhase.Prefill,
    backendServer: input.backendServer,
  };
  // Noted before the send: whatever comes back but a refusal, it may have run.
  return { state: { ...updateAttempt(state, sending), mayHaveStarted: true }, effects: [] };
};
