import type { GenerationInput, GenerationState, Transition } from '../types';
import { failGeneration } from '../_lib/failGeneration';
import { handleAbandoned } from '../_lib/handleAbandoned';
import { handleBatch } from '../_lib/handleBatch';
import { handleDisconnect } from '../_lib/handleDisconnect';
import { handleCallerAttached } from '../_lib/handleCallerAttached';
import { handleCancelled } from '../_lib/handleCancelled';
import { handleNotStarted } from '../_lib/handleNotStarted';
import { handleRejected } from '../_lib/handleRejected';
import { handleSending } from '../_lib/handleSending';
import { handleSilence } from '../_lib/handleSilence';
import { handleSlotRefused } from '../_lib/handleSlotRefused';
import { handleStreamGone } from '../_lib/handleStreamGone';
import { openAttempt } from '../_lib/openAttempt';
import { recoverGeneration } from '../_lib/recoverGeneration';

type Handlers = {
  readonly [Kind in GenerationInput['kind']]: (
    state: GenerationState,
    input: Extract<GenerationInput, { kind: Kind }>,
  ) => Transition;
};

const retryAttempt = (state: GenerationState): Transition =>
  state.attempts.length > 0
    ? { state, effects: [] }
    : openAttempt(state, state.mayHaveStarted || state.offset > 0 ? 'resume' : 'start');

// A generation taken over from another VM starts by reading the existing stream of an engine.
const startAttempts = (state: GenerationState): Transition =>
  state.attempts.length === 0
    ? recoverGeneration(state)
    : {
        state,
        effects: state.attempts.map(({ attempt, connection }) => ({
          kind: 'resume-stream',
          reader: { attempt, connection },
          offset: state.offset,
        })),
      };

const refuseClaim = (
  state: GenerationState,
  { retryAfterMs }: Extract<GenerationInput, { kind: 'claim-refused' }>,
): Transition =>
  failGeneration(state, {
    code: 'store_unavailable',
    message: 'the claim could not be written, so nothing was sent',
    status: 503,
    retryAfterMs,
  });

const passDeadline = (state: GenerationState): Transition =>
  state.offset > 0
    ? { state, effects: [] }
    : failGeneration(state, {
        code: 'deadline_exceeded',
        message: 'no token arrived before the deadline',
        status: 504,
        retryAfterMs: 0,
      });

const HANDLERS: Handlers = {
  started: startAttempts,
  sending: handleSending,
  'slot-refused': handleSlotRefused,
  'claim-refused': refuseClaim,
  'not-started': handleNotStarted,
  rejected: handleRejected,
  broken: handleDisconnect,
  'stream-gone': handleStreamGone,
  batch: handleBatch,
  silent: handleSilence,
  'retry-due': retryAttempt,
  'deadline-passed': passDeadline,
  'caller-attached': handleCallerAttached,
  'caller-left': (state) => ({
    state: { ...state, callers: Math.max(0, state.callers - 1) },
    effects: [],
  }),
  cancelled: handleCancelled,
  abandoned: handleAbandoned,
};

/** Inputs that a generation still handles after its end or while it waits for a caller. */
const INPUTS_BY_INACTIVE_PHASE: Readonly<Record<string, readonly GenerationInput['kind'][]>> = {
  parked: ['batch', 'sending', 'caller-attached', 'caller-left', 'cancelled', 'abandoned'],
  finished: ['batch', 'sending', 'caller-attached', 'caller-left'],
  failed: ['batch', 'sending', 'caller-attached', 'caller-left'],
};

/**
 * Computes the next state of a generation and the effects to perform. A pure function.
 *
 * Guarantees for any order of inputs:
 * - Batches are delivered with contiguous offsets.
 * - After a token of one attempt, no token of an older or parallel attempt is delivered.
 * - A non-idempotent generation gets no second attempt once an engine may have started.
 *
 * @param state - State of the generation; not modified.
 * @param input - Event that occurred.
 * @returns The new state and the effects to perform, in order.
 */
export const updateGeneration = (state: GenerationState, input: GenerationInput): Transition => {
  const allowed = INPUTS_BY_INACTIVE_PHASE[state.phase];
  if (allowed && !allowed.includes(input.kind)) return { state, effects: [] };
  const handle = HANDLERS[input.kind] as (
    current: GenerationState,
    received: GenerationInput,
  ) => Transition;
  return handle(state, input);
};
