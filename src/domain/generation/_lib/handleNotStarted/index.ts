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
 * Handles an engine that refused before it began, or that cannot be connected to.
 *
 * @param state - Generation.
 * @param input - Which attempt, and whether the connection itself was refused.
 * @returns The next step; evidence against the server if it cannot be connected to.
 */
export const handleNotStarted = (
  state: GenerationState,
  input: Extract<GenerationInput, { kind: 'not-started' }>,
): Transition => {
  const attempt = findAttempt(state, input.reader);
  if (!attempt) return { state, effects: [] };
  const wasNeverSent = attempt.phase === AttemptPhase.Prefill && state.offset === 0;
  const mayHaveStarted = wasNeverSent ? attempt.mayHaveStartedBefore : state.mayHaveStarted;
  // One that was read again had begun: its engine ended since.
  const hasCrashed = input.refused && attempt.phase === AttemptPhase.Resuming;
  const replace = hasCrashed ? replaceCrashedAttempt : replaceAttempt;
  const next = replace({ ...state, mayHaveStarted: mayHaveStarted }, attempt);
  if (!input.refused) return next;
  const evidence: GenerationEffect = {
    kind: 'suspect-server',
    backendServer: attempt.backendServer,
    cause: SuspicionCause.Refused,
    confirmed: true,
  };
  return { state: next.state, effects: [evidence, ...next.effects] };
};
