import { err, ok, type Result } from 'neverthrow';
import type { GenerationProgress, StreamFailure, StreamGenerationOptions } from '../../types';
import { convertResponseFailure } from '../convertResponseFailure';

/** An open connection that streams the events of the generation. */
export interface OpenStream {
  readonly body: ReadableStream<Uint8Array>;
  readonly requestId: string;
}

const buildFailure = (code: string, message: string, retryable: boolean): StreamFailure => ({
  code,
  message,
  runState: 'unknown',
  requestId: '',
  retryable,
  retryAfterMs: 0,
});

interface WireRequest {
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: unknown;
}

const buildRequest = (
  progress: GenerationProgress,
  options: StreamGenerationOptions,
): WireRequest => {
  const request = { ...options.body, stream: true };
  if (progress.cursor === '') {
    return { path: `/v1/${options.endpoint ?? 'chat/completions'}`, headers: {}, body: request };
  }
  return {
    path: `/v1/generations/${progress.generationId}/events`,
    headers: { 'Last-Event-ID': progress.cursor },
    body: { prefix_token_ids: progress.tokenIds, request },
  };
};

/**
 * Sends the request that starts the generation or, if there is a cursor, resumes it.
 *
 * @param baseUrl - Base URL of one entry.
 * @param signal - Aborts the connection.
 */
export async function sendRequest(
  baseUrl: string,
  progress: GenerationProgress,
  options: StreamGenerationOptions & { readonly idempotencyKey: string },
  signal: AbortSignal,
): Promise<Result<OpenStream, StreamFailure>> {
  const { path, headers, body } = buildRequest(progress, options);
  try {
    const response = await (options.fetch ?? fetch)(`${baseUrl}${path}`, {
      method: 'POST',
      headers: {
        ...options.headers,
        ...headers,
        Accept: 'text/event-stream',
        Authorization: `Bearer ${options.apiKey}`,
        'Content-Type': 'application/json',
        'Idempotency-Key': options.idempotencyKey,
      },
      body: JSON.stringify(body),
      signal,
    });
    if (!response.ok) return err(await convertResponseFailure(response));
    if (response.body === null) {
      return err(buildFailure('response_malformed', 'the response has no body', true));
    }
    const requestId = response.headers.get('jackdaw-request-id') ?? '';
    return ok({ body: response.body, requestId });
  } catch {
    // `fetch` reports no portable cause, and its message may contain only the URL.
    return err(buildFailure('connection_failed', 'the entry could not be reached', true));
  }
}
