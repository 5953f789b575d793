import { err, ok, type Result } from 'neverthrow';
import type { Dispatcher } from 'undici';
import type { Clock, EngineClient, EngineError } from '../../../application/ports';
import { createOrderlyAgent } from '../../../http-connections';
import { Endpoint } from '../../../domain/types';
import { buildAttemptBody } from '../_lib/buildAttemptBody';
import { callEngine } from '../_lib/callEngine';
import { convertStatus } from '../_lib/convertStatus';
import { openStream } from '../_lib/openStream';
import { parseCacheEvents } from '../_lib/parseCacheEvents';
import { parseLoadReport } from '../_lib/parseLoadReport';

/** Dependencies of the engine client. */
export interface HttpEngineClientDependencies {
  readonly clock: Clock;
}

/** Engine client; `close` closes its connections. */
export interface HttpEngineClient extends EngineClient {
  close(): Promise<void>;
}

/** Connections within a region open in a few milliseconds; after this time the host is dead. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Timeout of short calls: load, cache events, orders, cancellations and probes. */
const SHORT_CALL_TIMEOUT_MS = 2_000;

const ENDPOINT_PATHS = {
  [Endpoint.Chat]: '/v1/chat/completions',
  [Endpoint.Completion]: '/v1/completions',
} as const;

const MALFORMED_RESPONSE: EngineError = { kind: 'broken', reason: 'malformed answer' };

/**
 * Creates the client of the engine protocol over HTTP.
 *
 * @param dependencies - Clock for the timestamps of load reports.
 * @returns Client, to be closed by the caller.
 */
export const createHttpEngineClient = ({
  clock,
}: HttpEngineClientDependencies): HttpEngineClient => {
  const options = { connect: { timeout: CONNECT_TIMEOUT_MS } };
  const pooled = createOrderlyAgent(options);
  // Engines echo no id: on a connection with earlier requests, a late answer to one of them would be
  // read as that of the stream. And if the server closes a keep-alive connection just as a request is
  // sent, the error does not tell whether the request ran.
  const unpooled = createOrderlyAgent({ ...options, pipelining: 0 });

  const callShort = async (
    url: string,
    method: 'GET' | 'POST' | 'DELETE',
    body: Readonly<Record<string, unknown>> | null = null,
  ): Promise<Result<Dispatcher.ResponseData, EngineError>> => {
    const signal = AbortSignal.timeout(SHORT_CALL_TIMEOUT_MS);
    return callEngine(pooled, {
      url,
      method,
      body,
      headersTimeoutMs: SHORT_CALL_TIMEOUT_MS,
      signal,
    });
  };

  const readJson = async (url: string): Promise<Result<unknown, EngineError>> => {
    const response = await callShort(url, 'GET');
    if (response.isErr()) return err(response.error);
    if (response.value.statusCode !== 200) return err(await convertStatus('start', response.value));
    try {
      return ok(await response.value.body.json());
    } catch {
      return err(MALFORMED_RESPONSE);
    }
  };

  return {
    startAttempt: (server, start) =>
      openStream(unpooled, {
        purpose: 'start',
        call: {
          url: `${server.url}${ENDPOINT_PATHS[start.request.endpoint]}`,
          method: 'POST',
          body: buildAttemptBody(start),
        },
        firstOffset: start.prefixTokenIds.length,
      }),
    resumeStream: (server, streamId, offset) =>
      openStream(unpooled, {
        purpose: 'resume',
        call: {
          url: `${server.url}/v1/streams/${encodeURIComponent(streamId)}?offset=${offset}`,
          method: 'GET',
          body: null,
        },
        firstOffset: offset,
      }),
    cancelStream: async (server, streamId) => {
      const url = `${server.url}/v1/streams/${encodeURIComponent(streamId)}`;
      const response = await callShort(url, 'DELETE');
      if (response.isErr()) return err(response.error);
      await response.value.body.dump().catch(() => undefined);
      return response.value.statusCode < 300
        ? ok()
        : err({ kind: 'broken', reason: `status ${response.value.statusCode}` });
    },
    readLoad: async (server) => {
      const body = await readJson(`${server.url}/load`);
      return body.andThen((value) => {
        const report = parseLoadReport(value, server.name, clock.readMonotonicMs());
        return report ? ok(report) : err(MALFORMED_RESPONSE);
      });
    },
    listCacheEvents: async (server, afterSequence) => {
      const body = await readJson(`${server.url}/cache-events?after=${afterSequence}`);
      return body.andThen((value) => {
        const events = parseCacheEvents(value);
        return events ? ok(events) : err(MALFORMED_RESPONSE);
      });
    },
    sendOrder: async (server, order) => {
      const response = await callShort(`${server.url}/orders`, 'POST', {
        fencing_token: order.fencingToken,
        models: order.models,
        role: order.role,
      });
      if (response.isErr()) return err(response.error);
      const { statusCode, body } = response.value;
      if (statusCode === 409) {
        const refusal = (await body.json().catch(() => ({}))) as { fencing_token?: unknown };
        return err({ kind: 'stale-order', fencingToken: Number(refusal.fencing_token ?? 0) });
      }
      if (statusCode >= 300) return err(await convertStatus('start', response.value));
      await body.dump().catch(() => undefined);
      return ok();
    },
    probe: async (server) => {
      const response = await callShort(`${server.url}/health`, 'GET');
      if (response.isErr()) return err(response.error);
      await response.value.body.dump().catch(() => undefined);
      // A plain service may not serve this path, so any status below 500 counts as alive.
      return response.value.statusCode < 500
        ? ok()
        : err({ kind: 'broken', reason: `status ${response.value.statusCode}` });
    },
    close: async () => {
      await Promise.all([pooled.destroy(), unpooled.destroy()]);
    },
  };
};
