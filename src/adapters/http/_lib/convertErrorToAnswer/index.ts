import { RunState } from '../../../../domain/types';
import type { GenerationError } from '../../../../application/ports';
import type { CallerError } from '../../types';

/** Delay before a retry at another entry, if this one accepts no work. */
const RETRY_AT_OTHER_ENTRY_MS = 1000;

const buildRefusal = (status: number, code: string, message: string): GenerationError => ({
  code,
  message,
  status,
  runState: RunState.NotRun,
  retryAfterMs: status === 503 ? RETRY_AT_OTHER_ENTRY_MS : 0,
});

type Handlers = {
  readonly [K in CallerError['kind']]: (
    error: Extract<CallerError, { kind: K }>,
  ) => GenerationError;
};

const HANDLERS: Handlers = {
  'malformed-json': ({ message }) => buildRefusal(400, 'malformed_json', message),
  'bad-field': ({ field, message }) => buildRefusal(400, 'invalid_field', `${field}: ${message}`),
  'bad-header': ({ header, message }) =>
    buildRefusal(400, 'invalid_header', `${header}: ${message}`),
  'unknown-service': ({ service }) =>
    buildRefusal(
      404,
      'model_not_found',
      `There is no service named ${JSON.stringify(service)} here.`,
    ),
  'service-not-allowed': ({ service }) =>
    buildRefusal(
      403,
      'service_not_allowed',
      `This workspace may not use ${JSON.stringify(service)}.`,
    ),
  'no-configuration': () =>
    buildRefusal(503, 'no_configuration', 'This entry has not read a configuration yet.'),
  'bad-bearer': () =>
    buildRefusal(401, 'invalid_api_key', 'The bearer key is missing or belongs to no workspace.'),
  'body-too-large': ({ maxBytes }) =>
    buildRefusal(413, 'body_too_large', `The body is longer than ${maxBytes} bytes.`),
  'body-too-fragmented': ({ maxParts }) =>
    buildRefusal(413, 'body_too_fragmented', `The body came in more than ${maxParts} parts.`),
  'no-memory': () =>
    buildRefusal(503, 'no_memory', 'This process holds too many bytes of requests.'),
  'bad-cursor': ({ message }) => ({
    ...buildRefusal(400, 'invalid_cursor', message),
    runState: RunState.Unknown,
  }),
  'foreign-cursor': () => ({
    ...buildRefusal(
      403,
      'foreign_cursor',
      'The cursor belongs to another workspace or generation.',
    ),
    runState: RunState.Unknown,
  }),
  'unknown-generation': () => ({
    ...buildRefusal(
      404,
      'unknown_generation',
      'No running generation of this workspace has this id.',
    ),
    runState: RunState.Unknown,
  }),
  'unknown-path': () =>
    buildRefusal(404, 'unknown_path', 'There is nothing at this path and method.'),
  'shutting-down': () =>
    buildRefusal(503, 'shutting_down', 'This entry is shutting down; ask another one.'),
  'cut-off': () =>
    buildRefusal(503, 'cut_off', 'This entry cannot tell whether its configuration is current.'),
  'caller-gone': () => ({
    ...buildRefusal(499, 'caller_gone', 'The caller closed the connection.'),
    runState: RunState.Unknown,
  }),
  internal: () => ({
    ...buildRefusal(500, 'internal_error', 'The entry failed; its log has the reason.'),
    runState: RunState.Unknown,
  }),
  failed: ({ error }) => error,
};

/** Converts a caller error to the status, code and message of the answer. */
export const convertErrorToAnswer = (error: CallerError): GenerationError =>
  (HANDLERS[error.kind] as (value: CallerError) => GenerationError)(error);
