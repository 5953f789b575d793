import { GenerationLostError, streamGeneration } from '../../../client';
import { followEvents } from '../_lib/followEvents';
import { NO_ANSWER, readAnswer } from '../_lib/readAnswer';
import type { Caller, CallerConnection, Step } from '../types';

/** Bearer key of the workspace that scenarios use. */
export const SCENARIO_KEY = 'scenario-key';

interface WireRequest {
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
  /** Null for a GET request. */
  readonly body: unknown;
}

const sendRequest = async (
  { url, headers, body }: WireRequest,
  connection: CallerConnection,
): Promise<void> => {
  try {
    const response = await fetch(url, {
      method: body === null ? 'GET' : 'POST',
      headers: { ...headers, 'Content-Type': 'application/json' },
      body: body === null ? null : JSON.stringify(body),
      signal: connection.abort.signal,
    });
    const type = response.headers.get('content-type') ?? '';
    const isStream = response.ok && type.startsWith('text/event-stream');
    connection.recordEnd(
      isStream ? await followEvents(response, connection) : await readAnswer(response),
    );
  } catch {
    connection.recordEnd(NO_ANSWER);
  }
};

/** Sends the caller's request to one entry as a plain HTTP client does, and follows the answer. */
export function sendGeneration(caller: Caller, baseUrl: string): Promise<void> {
  const { path, headers, body } = caller.request;
  return sendRequest({ url: `${baseUrl}${path}`, headers, body }, caller.startConnection());
}

/** What a returning caller sends in addition to its cursor. */
export type Gives = Extract<Step, { do: 'return' }>['gives'];

const BODIES: Readonly<Record<Gives, (caller: Caller) => unknown>> = {
  nothing: () => null,
  request: ({ request }) => ({ request: request.body }),
  tokens: ({ readState, request }) => ({
    prefix_token_ids: readState().tokenIds,
    request: request.body,
  }),
  forged: ({ readState, request }) => ({
    prefix_token_ids: [...readState().tokenIds.slice(0, -1), 0],
    request: request.body,
  }),
};

/** Resumes a generation at an entry from the caller's last cursor. */
export function resumeGeneration(caller: Caller, baseUrl: string, gives: Gives): Promise<void> {
  const last = caller.readState().batches.at(-1);
  const request = {
    url: `${baseUrl}/v1/generations/${last?.generationId ?? 'none'}/events`,
    headers: { ...caller.request.headers, 'Last-Event-ID': last?.cursor ?? '' },
    body: BODIES[gives](caller),
  };
  return sendRequest(request, caller.startConnection());
}

/** Streams the caller's request with the published client, which may use all given entries. */
export async function streamWithClient(caller: Caller, baseUrls: readonly string[]): Promise<void> {
  const { headers, body } = caller.request;
  const connection = caller.startConnection();
  try {
    const batches = streamGeneration({
      baseUrls,
      apiKey: SCENARIO_KEY,
      body,
      headers,
      idleTimeoutMs: 2000,
      idempotencyKey: caller.request.name,
      signal: connection.abort.signal,
    });
    for await (const batch of batches) {
      connection.recordBatch({ ...batch, finishReason: batch.finishReason ?? '' });
    }
    connection.recordEnd({ ...NO_ANSWER, kind: 'finished' });
  } catch (error) {
    const lost = error instanceof GenerationLostError ? error : null;
    const runState = lost?.runState ?? '';
    connection.recordEnd({
      ...NO_ANSWER,
      kind: 'failed',
      code: lost?.code ?? 'client_error',
      runState,
    });
  }
}
