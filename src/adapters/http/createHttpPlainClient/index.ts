import { err, ok } from 'neverthrow';
import { Agent } from 'undici';
import type { PlainClient, PlainError } from '../../../application/ports';

/** A client with its connections. */
export interface HttpPlainClient extends PlainClient {
  stop(): Promise<void>;
}

/** Connections to one server at once; more calls than its slots are never sent. */
const MAX_CONNECTIONS = 256;

const CONNECT_TIMEOUT_MS = 2000;

/** Silence within an answer's body after which it is given up. */
const BODY_IDLE_TIMEOUT_MS = 60_000;

/**
 * Codes with which a connection was never made. Everything else counts as sent: a reset of a kept
 * connection looks the same before and after the service has read the request.
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
 * Creates the client for plain services.
 *
 * Pipelining is off, so that undici never holds a second request behind one that failed and sends
 * it again on a new connection.
 */
export const createHttpPlainClient = (): HttpPlainClient => {
  const options = {
    connections: MAX_CONNECTIONS,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: 0,
    bodyTimeout: BODY_IDLE_TIMEOUT_MS,
  };
  const pooled = new Agent({ ...options, pipelining: 1 });
  // A kept connection that the server closes at that moment fails without a sign of whether the
  // call ran. On one of its own, a failure to connect surely means that nothing was sent.
  const unpooled = new Agent({ ...options, pipelining: 0 });

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
