import { SuspicionCause } from '../../../types';
import {
  AttemptPhase,
  type GenerationEffect,
  type GenerationInput,
  type GenerationState,
  type Transition,
} from '../../types';
import { findAttempt } from '../findAttempt';
import { replaceAttempt } from '../replaceAttempt';
import { replaceCrashedAttempt } from '../replaceCrashedAttempt';

/**
 * Handles an engine that did not start the request: it refused, or the connection failed.
 *
 * @param state - State of the generation.
 * @param input - The attempt, and whether the connection was refused.
 * @returns The next step; also a suspicion of the server if the connection was refused.
 */
export const handleNotStarted = (
  state: GenerationState,
  input: Extract<GenerationInput, { kind: 'not-started' }>,
): Transition => {
  const attempt = findAttempt(state, input.reader);
  if (!attempt) return { state, effects: [] };
  const wasNeverSent = attempt.phase === AttemptPhase.Prefill && state.offset === 0;
  const isOtherSent = state.attempts.some(
    (other) => other !== attempt && other.phase !== AttemptPhase.Opening,
  );
  const mayHaveStarted =
    wasNeverSent && !isOtherSent ? attempt.mayHaveStartedBefore : state.mayHaveStarted;
  // The request had started before the stream was read again, so the engine crashed since.
  const hasCrashed = input.refused && attempt.phase === AttemptPhase.Resuming;
  const replace = hasCrashed ? replaceCrashedAttempt : replaceAttempt;
  const next = replace({ ...state, mayHaveStarted }, attempt);
  if (!input.refused) return next;
  const evidence: GenerationEffect = {
    kind: 'suspect-server',
    backendServer: attempt.backendServer,
    cause: SuspicionCause.Refused,
    confirmed: true,
  };
  return { state: next.state, effects: [evidence, ...next.effects] };
};
