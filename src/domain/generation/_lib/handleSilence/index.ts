import { SurvivalMode, SuspicionCause } from '../../../types';
import {
  StreamRetention,
  AttemptPhase,
  type Attempt,
  type GenerationEffect,
  type GenerationInput,
  type GenerationState,
  type Transition,
} from '../../types';
import { findAttempt } from '../findAttempt';
import { openAttempt } from '../openAttempt';
import { replaceAttempt } from '../replaceAttempt';
import { resumeAttempt } from '../resumeAttempt';
import { updateAttempt } from '../updateAttempt';

/** Parallel attempts per generation: a silent one and its replacement. */
const MAX_PARALLEL_ATTEMPTS = 2;

/**
 * Reads of the stream of a silent engine when no other attempt is allowed: about ten seconds, in
 * which a paused engine may resume.
 */
const MAX_SILENT_READS = 20;

const canOpenAnother = ({ policy, attempts, callers }: GenerationState): boolean =>
  policy.idempotent &&
  policy.continuable &&
  (callers > 0 || policy.keyed) &&
  attempts.every((attempt) => attempt.silence !== 'none');

const openParallelAttempt = (state: GenerationState, purpose: Attempt['purpose']): Transition => {
  const dropped = state.attempts.slice(
    0,
    Math.max(0, state.attempts.length - MAX_PARALLEL_ATTEMPTS + 1),
  );
  const kept = state.attempts.filter((attempt) => !dropped.includes(attempt));
  const opened = openAttempt({ ...state, attempts: kept }, purpose);
  return {
    state: opened.state,
    effects: [
      ...dropped.map(({ attempt }) => ({ kind: 'cancel-attempt', attempt }) as const),
      ...opened.effects,
    ],
  };
};

const handleSuspected = (state: GenerationState): Transition =>
  state.policy.mode === SurvivalMode.Latency &&
  state.policy.streamRetention !== StreamRetention.Dropped &&
  canOpenAnother(state)
    ? openParallelAttempt(state, 'hedge')
    : { state, effects: [] };

const handleConfirmed = (state: GenerationState, attempt: Attempt): Transition => {
  if (canOpenAnother(state)) return openParallelAttempt(state, 'resume');
  const hedge = state.attempts.find((other) => other.phase === AttemptPhase.Opening);
  // A queued hedge waits behind resumes. The failure is now confirmed, so reopen it as a resume.
  if (hedge?.purpose === 'hedge') {
    const attempts = state.attempts.filter((other) => other !== hedge);
    const opened = openAttempt({ ...state, attempts }, 'resume');
    const cancel: GenerationEffect = { kind: 'cancel-attempt', attempt: hedge.attempt };
    return { state: opened.state, effects: [cancel, ...opened.effects] };
  }
  if (attempt.readsWithoutProgress >= MAX_SILENT_READS) return replaceAttempt(state, attempt);
  // No other attempt is allowed. Only the connection may be dead, so read over a new one.
  return state.attempts.length === 1 ? resumeAttempt(state, attempt) : { state, effects: [] };
};

/**
 * Handles an attempt that has been silent for longer than its limit.
 *
 * The attempt stays in the state, so that it can still deliver the next token if it resumes first.
 *
 * @param state - State of the generation.
 * @param input - Attempt, and whether the longer limit has passed, which confirms the failure.
 * @returns A suspicion of the server, and a second attempt where mode and policy allow one.
 */
export const handleSilence = (
  state: GenerationState,
  input: Extract<GenerationInput, { kind: 'silent' }>,
): Transition => {
  const attempt = findAttempt(state, input.reader);
  const level = input.confirmed ? 'confirmed' : 'suspected';
  if (!attempt || attempt.silence === level || attempt.silence === 'confirmed') {
    return { state, effects: [] };
  }
  // A stream that delivered nothing after it was reopened is not worth waiting for.
  const isUnread = attempt.phase === AttemptPhase.Resuming && state.policy.idempotent;
  // Nor is a stream that the engine drops on disconnect: it can't be read again, and must not run
  // in parallel with its replacement.
  const isDropped = state.policy.streamRetention === StreamRetention.Dropped;
  const mustReplace = input.confirmed && (isUnread || isDropped);
  const marked = updateAttempt(state, { ...attempt, silence: level });
  const evidence: GenerationEffect = {
    kind: 'suspect-server',
    backendServer: attempt.backendServer,
    cause: SuspicionCause.Silence,
    confirmed: input.confirmed,
  };
  const decide = (): Transition => {
    if (mustReplace) return replaceAttempt(marked, attempt);
    return input.confirmed
      ? handleConfirmed(marked, { ...attempt, silence: level })
      : handleSuspected(marked);
  };
  const next = decide();
  return { state: next.state, effects: [evidence, ...next.effects] };
};
