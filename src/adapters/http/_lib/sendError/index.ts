import { RunState } from '../../../../domain/types';
import type { GenerationError } from '../../../../application/ports';
import type { CallerContext, CallerError } from '../../types';
import { convertErrorToAnswer } from '../convertErrorToAnswer';

const MS_PER_S = 1000;

/** Error of a stream that ends before its generation; must never look like a finished answer. */
export const STREAM_INCOMPLETE_ERROR: GenerationError = {
  code: 'stream_incomplete',
  message: 'The stream ended before the generation did.',
  status: 502,
  runState: RunState.Ran,
  retryAfterMs: 0,
};

/** OpenAI's `type` by status class (the first digit of the status). */
const TYPE_BY_STATUS_CLASS: Readonly<Record<number, string>> = { 4: 'invalid_request_error' };

/** Builds the body of an error in OpenAI's format. */
export const buildErrorBody = (error: GenerationError, requestId: string) => ({
  error: {
    message: error.message,
    type: TYPE_BY_STATUS_CLASS[Math.floor(error.status / 100)] ?? 'server_error',
    param: null,
    code: error.code,
    run_state: error.runState,
    retry_after_ms: error.retryAfterMs,
    request_id: requestId,
  },
});

/** Overrides of an error's default answer. */
export interface ErrorAnswerOptions {
  /** Additional fields of the body, for example the cursor of a hand-over. */
  readonly extra?: Readonly<Record<string, unknown>>;
  /** Run state of the work that the request refers to, if that differs from the error's own. */
  readonly runState?: RunState;
}

const buildRetryHeaders = ({ retryAfterMs }: GenerationError): Record<string, string> =>
  retryAfterMs > 0
    ? {
        'Retry-After': String(Math.ceil(retryAfterMs / MS_PER_S)),
        'Retry-After-Ms': String(Math.ceil(retryAfterMs)),
      }
    : {};

/**
 * Sends an error to the caller.
 *
 * OpenAI's clients retry a 409, 429 or 5xx unless `x-should-retry` says otherwise, and would so
 * repeat a call that may have run. Each error therefore carries the header, with `true` only if the
 * error has a retry delay.
 *
 * @param options - overrides of the error's default answer
 */
export const sendError = (
  context: CallerContext,
  source: CallerError,
  options: ErrorAnswerOptions = {},
): Response => {
  const defaultError = convertErrorToAnswer(source);
  const error = { ...defaultError, runState: options.runState ?? defaultError.runState };
  const requestId = context.get('requestId');
  context.set('errorCode', error.code);
  const shouldRetry = error.retryAfterMs > 0;
  return new Response(JSON.stringify({ ...buildErrorBody(error, requestId), ...options.extra }), {
    status: error.status,
    headers: {
      'Content-Type': 'application/json',
      'Jackdaw-Request-Id': requestId,
      'Jackdaw-Run-State': error.runState,
      'x-should-retry': String(shouldRetry),
      ...(error.status === 401 ? { 'WWW-Authenticate': 'Bearer' } : {}),
      ...(error.status === 413 ? { Connection: 'close' } : {}),
      ...buildRetryHeaders(error),
    },
  });
};
