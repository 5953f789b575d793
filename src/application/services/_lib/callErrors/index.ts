import { RunState, type Refusal } from '../../../../domain/types';
import type { ClaimError, GenerationError } from '../../../ports';

/** HTTP status by refusal code; 503 for all others. */
const STATUS_BY_REFUSAL: Readonly<Partial<Record<Refusal['code'], number>>> = {
  unknown_service: 404,
  service_not_allowed: 403,
  queue_full: 429,
};

/** Converts a refusal of the router; `runState` is the run state after earlier attempts. */
export const convertRefusal = (refusal: Refusal, runState: RunState): GenerationError => ({
  code: refusal.code,
  message: refusal.message,
  status: STATUS_BY_REFUSAL[refusal.code] ?? 503,
  runState,
  retryAfterMs: refusal.retryAfterMs,
});

/** Builds the error of a call that was sent to a server but got no complete answer. */
export const buildBackendFailedError = (reason: string): GenerationError => ({
  code: 'backend_failed',
  message: `The call was sent, but no answer was received: ${reason}.`,
  status: 502,
  runState: RunState.Unknown,
  retryAfterMs: 0,
});

/** Builds the error of a call whose deadline passed. */
export const buildTimeoutError = (runState: RunState): GenerationError => ({
  code: 'timeout',
  message: 'The call was not answered before its deadline.',
  status: 504,
  runState,
  retryAfterMs: 0,
});

/** Builds the error of a call that no backend server accepted. */
export const buildUnreachableError = (reason: string): GenerationError => ({
  code: 'backend_unreachable',
  message: `No backend server accepted the call: ${reason}.`,
  status: 503,
  runState: RunState.NotRun,
  retryAfterMs: 1000,
});

/** Builds the error of a call whose key is claimed by another call. */
export const buildClaimTakenError = (runState: RunState): GenerationError => ({
  code: runState === RunState.Ran ? 'already_ran' : 'claim_taken',
  message: 'A call under this key or request id was already accepted; it is not sent again.',
  status: 409,
  runState,
  retryAfterMs: 0,
});

/** Builds the error of a key that was used for a different call. */
export const buildKeyReusedError = (): GenerationError => ({
  code: 'idempotency_key_reused',
  message: 'This key or request id was used for a different call.',
  status: 422,
  runState: RunState.NotRun,
  retryAfterMs: 0,
});

/** Converts the error of a claim; nothing was sent. */
export const convertClaimError = (error: ClaimError): GenerationError => {
  if (error.kind === 'lost') return buildClaimTakenError(RunState.Unknown);
  return {
    code: 'store_unavailable',
    message: 'A call that may run only once cannot be recorded now, so it was not sent.',
    status: 503,
    runState: RunState.NotRun,
    retryAfterMs: Math.max(error.retryAfterMs, 1000),
  };
};
