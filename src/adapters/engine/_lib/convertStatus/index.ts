import type { Dispatcher } from 'undici';
import type { EngineError } from '../../../../application/ports';

/** Length to which an engine's error message is truncated. */
const MAX_MESSAGE_CHARACTERS = 200;

type StatusHandler = (response: Dispatcher.ResponseData) => Promise<EngineError>;

const readMessage = async (response: Dispatcher.ResponseData): Promise<string> => {
  try {
    const body = (await response.body.json()) as { error?: { message?: unknown; code?: unknown } };
    const text = body.error?.message ?? body.error?.code ?? '';
    return String(text).slice(0, MAX_MESSAGE_CHARACTERS);
  } catch {
    return '';
  }
};

const buildNotStarted: StatusHandler = async (response) => {
  const retryAfter = Number(response.headers['retry-after'] ?? 0);
  await response.body.dump().catch(() => undefined);
  return {
    kind: 'not-started',
    reason: `status ${response.statusCode}`,
    retryAfterMs: Number.isFinite(retryAfter) ? retryAfter * 1000 : 0,
  };
};

const buildRejected: StatusHandler = async (response) => ({
  kind: 'rejected',
  status: response.statusCode,
  message: await readMessage(response),
});

const buildStreamGone: StatusHandler = async (response) => {
  await response.body.dump().catch(() => undefined);
  return { kind: 'stream-gone', reason: `status ${response.statusCode}` };
};

const buildBroken: StatusHandler = async (response) => {
  await response.body.dump().catch(() => undefined);
  return { kind: 'broken', reason: `status ${response.statusCode}` };
};

/** Error by status of a call that starts an attempt. */
const START_HANDLERS: Readonly<Record<number, StatusHandler>> = {
  400: buildRejected,
  404: buildRejected,
  409: buildNotStarted,
  413: buildRejected,
  422: buildRejected,
  429: buildNotStarted,
  503: buildNotStarted,
};

/** Error by status of a call that resumes an existing stream. */
const RESUME_HANDLERS: Readonly<Record<number, StatusHandler>> = {
  404: buildStreamGone,
  410: buildStreamGone,
  416: buildStreamGone,
};

const HANDLERS = { start: START_HANDLERS, resume: RESUME_HANDLERS } as const;

/**
 * Converts an engine's error status to an error; reads the body to its end.
 *
 * @param purpose - Whether the call was to start work or to resume an existing stream.
 * @param response - Answer with a status other than 2xx.
 * @returns The error; `broken` for each status that leaves open whether the work ran.
 */
export const convertStatus = (
  purpose: keyof typeof HANDLERS,
  response: Dispatcher.ResponseData,
): Promise<EngineError> => {
  const handler = HANDLERS[purpose][response.statusCode] ?? buildBroken;
  return handler(response);
};
