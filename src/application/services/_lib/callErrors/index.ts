import { RunState, type Refusal } from '../../../../domain/types';
import type { ClaimError, GenerationError } from '../../../ports';

/** HTTP status of refusals that are not about load. */
const STATUS_BY_REFUSAL: Readonly<Partial<Record<Refusal['code'], number>>> = {
  unknown_service: 404,
  service_not_allowed: 403,
  queue_full: 429,
};

/** Converts a refusal of the routing; `runState` is what earlier attempts left behind. */
export const convertRefusal = (refusal: Refusal, runState: RunState): GenerationError => ({
  code: refusal.code,
  message: refusal.message,
  status: STATUS_BY_REFUSAL[refusal.code] ?? 503,
  runState,
  retryAfterMs: refusal.retryAfterMs,
});

/** Builds the error of a call that may have run on a server that gave no whole answer. */
export const buildBackendFailedError = (reason: string): GenerationError => ({
  code: 'backend_failed',
  message: `The call was sent, but no answer came: ${reason}.`,
  status: 502,
  runState: RunState.Unknown,
  retryAfterMs: 0,
});

/** Builds the error of a call past its deadline. */
export const buildTimeoutError = (runState: RunState): GenerationError => ({
  code: 'timeout',
  message: 'The call had no answer by its deadline.',
  status: 504,
  runState,
  retryAfterMs: 0,
});

/** Builds the error of a call that no server took. */
export const buildUnreachableError = (reason: string): GenerationError => ({
  code: 'backend_unreachable',
  message: `No server took the call: ${reason}.`,
  status: 503,
  runState: RunState.NotRun,
  retryAfterMs: 1000,
});

/** Builds the error of a call whose claim another one has. */
export const buildClaimTakenError = (runState: RunState): GenerationError => ({
  code: runState === RunState.Ran ? 'already_ran' : 'claim_taken',
  message: 'A call under this key or request id was already accepted; it is not sent again.',
  status: 409,
  runState,
  retryAfterMs: 0,
});

/** Builds the error of a key that was used for another call. */
export const buildKeyReusedError = (): GenerationError => ({
  code: 'idempotency_key_reused',
  message: 'This key or request id was used for a different call.',
  status: 422,
  runState: RunState.NotRun,
  retryAfterMs: 0,
});

/** Converts a failure to claim: nothing was sent. */
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
