import { err, ok } from 'neverthrow';
import type { PlainClient, PlainError } from '../../../application/ports';
import { createOrderlyAgent, isUnwritten, sendRequest } from '../../../http-connections';

/** Client of plain services; `stop` closes its connections. */
export interface HttpPlainClient extends PlainClient {
  stop(): Promise<void>;
}

/** Limit of concurrent connections to one server; calls are already limited by its slots. */
const MAX_CONNECTIONS = 256;

const CONNECT_TIMEOUT_MS = 2000;

/** Silence within an answer's body after which the call is aborted. */
const BODY_IDLE_TIMEOUT_MS = 60_000;

const readCode = (error: unknown): string => String((error as { code?: unknown }).code ?? '');

const convertError = (error: unknown, signal: AbortSignal): PlainError => {
  const code = readCode(error);
  const isSent = !isUnwritten(error);
  if (signal.aborted) return { kind: 'cancelled', sent: isSent };
  const reason = code === '' ? 'the connection failed' : code;
  return { kind: isSent ? 'broken' : 'not-started', reason };
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
  // whether the call ran. A call that must not be repeated gets a new connection: it is written
  // only once that is made.
  const unpooled = createOrderlyAgent({ ...options, pipelining: 0 });

  const sendCall: PlainClient['sendCall'] = async (server, call, signal) => {
    if (signal.aborted) return err({ kind: 'cancelled', sent: false });
    try {
      const { body, headers, statusCode } = await sendRequest(() => ({
        dispatcher: call.repeatable ? pooled : unpooled,
        options: {
          origin: server.url,
          path: call.path,
          method: call.method,
          headers: call.headers,
          body: call.body.length === 0 ? null : call.body,
          signal,
        },
      }));
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
