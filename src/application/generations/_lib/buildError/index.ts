import { RunState } from '../../../../domain/types';
import type { GenerationError } from '../../../ports';

/** Errors returned to callers that are not yet attached to a run. */
const ERRORS = {
  unknown_service: { status: 404, runState: RunState.NotRun, message: 'no such service' },
  request_quarantined: {
    status: 503,
    runState: RunState.NotRun,
    message: 'engines ended as they ran this request: it is not sent for now',
  },
  store_unavailable: {
    status: 503,
    runState: RunState.NotRun,
    message: 'the claim store is not available, so nothing was sent',
  },
  idempotency_key_reused: {
    status: 422,
    runState: RunState.NotRun,
    message: 'the idempotency key was used for another request',
  },
  run_state_unknown: {
    status: 409,
    runState: RunState.Unknown,
    message: 'the request was claimed before and may have run; it is not run again',
  },
  answer_unavailable: {
    status: 503,
    runState: RunState.Ran,
    message: 'the request has run, but its stored answer cannot be read now',
  },
  answer_expired: {
    status: 410,
    runState: RunState.Ran,
    message: 'the request has run, and its answer is no longer kept',
  },
  prefix_mismatch: {
    status: 409,
    runState: RunState.Ran,
    message: 'request and prefix are not those of the cursor',
  },
  generation_lost: {
    status: 410,
    runState: RunState.Ran,
    message: 'no copy of the generation is left: send the request and the tokens received',
  },
  caller_gone: { status: 499, runState: RunState.Unknown, message: 'the caller disconnected' },
} as const;

/** Code of an error that is returned before a run is attached to. */
export type ErrorCode = keyof typeof ERRORS;

/**
 * Builds the error for a code.
 *
 * @param code - Code that the caller receives.
 * @param options.retryAfterMs - Delay before a retry, in milliseconds; 0 if a retry cannot help.
 * @returns Error.
 */
export const buildError = (
  code: ErrorCode,
  options: { readonly retryAfterMs?: number } = {},
): GenerationError => ({ code, ...ERRORS[code], retryAfterMs: options.retryAfterMs ?? 0 });
