import aws4 from 'aws4';
import { err, ok, type Result } from 'neverthrow';
import type { StoreError } from '../../../application/ports';
import { startDeadline } from '../../../application/store';
import { createAnswerCollector, type PlatformAnswer } from '../_lib/createAnswerCollector';
import { DEFAULT_DEADLINE_MS, DEFAULT_RETRY_AFTER_MS } from '../constants';
import type { PlatformDependencies, PlatformSettings } from '../types';

/** A request to one of the platform's services. */
export interface PlatformRequest {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Uint8Array<ArrayBuffer>;
  /** Service named in the signature; null for an unsigned request. */
  readonly service: 'dynamodb' | 's3' | null;
  /** Whether the request writes: the lost answer of a write is `ambiguous`, not `unavailable`. */
  readonly write: boolean;
}

/** Sends requests to one of the platform's services. */
export interface PlatformClient {
  /**
   * Signs and sends one request, with a deadline for the whole call and without retries.
   *
   * @returns the answer of any status, or an error: `ambiguous` for a write that may have been
   * sent, else `unavailable`
   */
  sendRequest(request: PlatformRequest): Promise<Result<PlatformAnswer, StoreError>>;
}

type Headers = Readonly<Record<string, string>>;

/** Formats a time for AWS signatures: ISO 8601 without punctuation and milliseconds. */
const formatSignatureTime = (wallMs: number): string =>
  new Date(wallMs).toISOString().replace(/[:-]|\.\d{3}/g, '');

function signHeaders(
  settings: PlatformSettings,
  request: PlatformRequest,
  wallMs: number,
): Headers {
  if (request.service === null) return request.headers ?? {};
  const { headers } = aws4.sign(
    {
      method: request.method,
      host: new URL(settings.endpoint).host,
      path: request.path,
      headers: { ...request.headers, 'X-Amz-Date': formatSignatureTime(wallMs) },
      body: typeof request.body === 'string' ? request.body : Buffer.from(request.body ?? ''),
      service: request.service,
      region: settings.region,
    },
    settings,
  );
  return headers as Headers;
}

/** Creates the client of one of the platform's services. */
export function createPlatformClient(
  settings: PlatformSettings,
  dependencies: PlatformDependencies,
): PlatformClient {
  const { clock, dispatcher } = dependencies;
  return {
    sendRequest: async (request) => {
      const collector = createAnswerCollector();
      const deadlineMs = settings.deadlineMs ?? DEFAULT_DEADLINE_MS;
      const cancelDeadline = startDeadline(clock, deadlineMs, () => {
        collector.abort(new Error('deadline passed'));
      });
      try {
        const headers = signHeaders(settings, request, clock.readWallMs());
        const { path, method, body } = request;
        dispatcher.dispatch(
          { origin: settings.endpoint, path, method, headers, body },
          collector.handler,
        );
        return ok(await collector.answer);
      } catch (error) {
        const reason = error instanceof Error ? error.message : 'the call failed';
        return collector.isSent() && request.write
          ? err({ kind: 'ambiguous', reason })
          : err({ kind: 'unavailable', reason, retryAfterMs: DEFAULT_RETRY_AFTER_MS });
      } finally {
        cancelDeadline();
      }
    },
  };
}
