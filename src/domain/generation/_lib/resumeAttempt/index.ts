import { AttemptPhase, type Attempt, type GenerationState, type Transition } from '../../types';
import { updateAttempt } from '../updateAttempt';

/**
 * Reads the stream of an attempt again over a new connection; inputs from the old one become stale.
 *
 * @param state - State of the generation.
 * @param attempt - Attempt that has been sent.
 * @returns State with the new connection, and the effect that opens it.
 */
export const resumeAttempt = (state: GenerationState, attempt: Attempt): Transition => {
  const resumed: Attempt = {
    ...attempt,
    connection: attempt.connection + 1,
    phase: AttemptPhase.Resuming,
    silence: 'none',
    readsWithoutProgress: attempt.readsWithoutProgress + 1,
  };
  const reader = { attempt: resumed.attempt, connection: resumed.connection };
  return {
    state: updateAttempt(state, resumed),
    effects: [{ kind: 'resume-stream', reader, offset: state.offset }],
  };
};
