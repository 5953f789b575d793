import { err, ok } from 'neverthrow';
import type { PlainClient, PlainError } from '../../../application/ports';
import { createOrderlyAgent } from '../../../http-connections';

/** Client of plain services; `stop` closes its connections. */
export interface HttpPlainClient extends PlainClient {
  stop(): Promise<void>;
}

/** Limit of concurrent connections to one server; calls are already limited by its slots. */
const MAX_CONNECTIONS = 256;

const CONNECT_TIMEOUT_MS = 2000;

/** Silence within an answer's body after which the call is aborted. */
const BODY_IDLE_TIMEOUT_MS = 60_000;

/**
 * Error codes of failures to connect. After any other error the call counts as sent: a reset of a
 * keep-alive connection looks the same before and after the service has read the request.
 */
const NOT_CONNECTED_CODES: readonly string[] = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
];

const readCode = (error: unknown): string => String((error as { code?: unknown }).code ?? '');

const convertError = (error: unknown, signal: AbortSignal): PlainError => {
  const code = readCode(error);
  if (NOT_CONNECTED_CODES.includes(code)) return { kind: 'not-started', reason: code };
  if (signal.aborted) return { kind: 'cancelled', sent: true };
  return { kind: 'broken', reason: code === '' ? 'the connection failed' : code };
};

/**
 * Creates the client of plain services.
 *
 * Pipelining is off, so that undici never queues a second request behind a failed one and resends
 * it on a new connection.
 */
export const createHttpPlainClient = (): HttpPlainClient => {
  const options = {
    connections: MAX_CONNECTIONS,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: 0,
    bodyTimeout: BODY_IDLE_TIMEOUT_MS,
  };
  const pooled = createOrderlyAgent({ ...options, pipelining: 1 });
  // If the server closes a keep-alive connection just as a call is sent, the error does not tell
  // whether the call ran. A call that must not be repeated gets a new connection, where a failure
  // to connect proves that nothing was sent.
  const unpooled = createOrderlyAgent({ ...options, pipelining: 0 });

  const sendCall: PlainClient['sendCall'] = async (server, call, signal) => {
    if (signal.aborted) return err({ kind: 'cancelled', sent: false });
    try {
      const { body, headers, statusCode } = await (call.repeatable ? pooled : unpooled).request({
        origin: server.url,
        path: call.path,
        method: call.method,
        headers: call.headers,
        body: call.body.length === 0 ? null : call.body,
        signal,
      });
      const definedHeaders = Object.entries(headers).flatMap(([name, value]) =>
        value === undefined ? [] : [[name, value] as const],
      );
      return ok({ status: statusCode, headers: Object.fromEntries(definedHeaders), body });
    } catch (error) {
      return err(convertError(error, signal));
    }
  };

  return {
    sendCall,
    stop: async () => {
      await Promise.all([pooled.destroy(), unpooled.destroy()]);
    },
  };
};
