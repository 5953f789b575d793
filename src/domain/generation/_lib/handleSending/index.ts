import {
  AttemptPhase,
  type GenerationInput,
  type GenerationState,
  type Transition,
} from '../../types';
import { findAttempt } from '../findAttempt';
import { updateAttempt } from '../updateAttempt';

/**
 * Records that an attempt has a slot and is about to be sent.
 *
 * @param state - State of the generation.
 * @param input - Attempt and server.
 * @returns State with the attempt in prefill; the cancellation of an attempt abandoned meanwhile.
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
  // Set before the send: unless the engine refuses, the request may have run.
  return { state: { ...updateAttempt(state, sending), mayHaveStarted: true }, effects: [] };
};
