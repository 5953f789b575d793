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

/** Attempts that may wait for the next token at once: a silent one and its replacement. */
const MAX_LIVE_ATTEMPTS = 2;

/**
 * Times that a stream which nothing else may run is asked for while its engine is silent: about
 * ten seconds, in which a paused engine may come back.
 */
const MAX_SILENT_READS = 20;

const canOpen = ({ policy, attempts, callers }: GenerationState): boolean =>
  policy.idempotent &&
  policy.continuable &&
  (callers > 0 || policy.keyed) &&
  attempts.every((attempt) => attempt.silence !== 'none');

const openBeside = (state: GenerationState, purpose: Attempt['purpose']): Transition => {
  const dropped = state.attempts.slice(
    0,
    Math.max(0, state.attempts.length - MAX_LIVE_ATTEMPTS + 1),
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
  canOpen(state)
    ? openBeside(state, 'hedge')
    : { state, effects: [] };

const handleConfirmed = (state: GenerationState, attempt: Attempt): Transition => {
  if (canOpen(state)) return openBeside(state, 'resume');
  const hedge = state.attempts.find((other) => other.phase === AttemptPhase.Opening);
  // A hedge still queued would wait behind resumes; now that the silence is certain it is one.
  if (hedge?.purpose === 'hedge') {
    const attempts = state.attempts.filter((other) => other !== hedge);
    const opened = openAttempt({ ...state, attempts }, 'resume');
    const cancel: GenerationEffect = { kind: 'cancel-attempt', attempt: hedge.attempt };
    return { state: opened.state, effects: [cancel, ...opened.effects] };
  }
  if (attempt.readsWithoutProgress >= MAX_SILENT_READS) return replaceAttempt(state, attempt);
  // Nothing else may run it: the connection may be what is dead, so ask over a new one.
  return state.attempts.length === 1 ? resumeAttempt(state, attempt) : { state, effects: [] };
};

/**
 * Handles an attempt that has been silent for longer than its limit.
 *
 * It stays in the state, so that it may still deliver the next token if it wakes first.
 *
 * @param state - Generation.
 * @param input - Attempt, and whether the longer limit has passed.
 * @returns Evidence against the server, and a second attempt where mode and policy allow it.
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
  // A stream that could not even be read again has nothing to say that is worth waiting for.
  const isUnread = attempt.phase === AttemptPhase.Resuming && state.policy.idempotent;
  // Nor is one whose run ends with its connection: it can't be asked again, and must not run on
  // beside its replacement.
  const isDropped = state.policy.streamRetention === StreamRetention.Dropped;
  const isHopeless = input.confirmed && (isUnread || isDropped);
  const marked = updateAttempt(state, { ...attempt, silence: level });
  const evidence: GenerationEffect = {
    kind: 'suspect-server',
    backendServer: attempt.backendServer,
    cause: SuspicionCause.Silence,
    confirmed: input.confirmed,
  };
  const decide = (): Transition => {
    if (isHopeless) return replaceAttempt(marked, attempt);
    return input.confirmed
      ? handleConfirmed(marked, { ...attempt, silence: level })
      : handleSuspected(marked);
  };
  const next = decide();
  return { state: next.state, effects: [evidence, ...next.effects] };
};
