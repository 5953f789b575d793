import type { Socket } from 'node:net';
import { buildConnector, Client, type Dispatcher } from 'undici';
import { decorateHandler } from '../decorateHandler';

/** Code of the error of a response whose connection did not end in order. */
export const RESET_CODE = 'ERR_CONNECTION_RESET';

/** Code of the error of a response whose status is not one of HTTP. */
export const INVALID_STATUS_CODE = 'ERR_INVALID_STATUS';

/** Statuses that HTTP defines (RFC 9110, section 15). */
const MIN_STATUS = 100;
const MAX_STATUS = 599;

/** What an orderly client tells of a request's connection with `onRequestStart`. */
export interface RequestContext {
  /** Requests that the connection had carried before. */
  readonly earlierRequests: number;
}

/** How the newest connection of a client ended. */
type ConnectionState = 'open' | 'ended' | 'broken';

/**
 * Tells whether the end of a connection was in order.
 *
 * If its last bytes and a reset are there at once, Node.js reports the end of the connection in
 * place of the error. A connection that was reset has no remote address any more; one that the peer
 * closed keeps it. Node.js stores the first address that it reads, so nothing may read it before.
 */
const hasEndedInOrder = (socket: Socket): boolean => socket.remoteAddress !== undefined;

const buildResetError = (): Error =>
  Object.assign(new Error('the connection was reset before the end of the response'), {
    code: RESET_CODE,
  });

const buildStatusError = (status: number): Error =>
  Object.assign(new Error(`the response has status ${status}`), { code: INVALID_STATUS_CODE });

/**
 * Creates a client of one origin that takes the end of a connection for the end of a response only
 * if the connection ended in order. Otherwise the response fails with `RESET_CODE`, and one with a
 * status that HTTP does not define with `INVALID_STATUS_CODE`.
 *
 * @param options - options of undici's client, with one request at a time on a connection
 */
export const createOrderlyClient = (origin: URL | string, options: Client.Options): Dispatcher => {
  let state: ConnectionState = 'open';
  let startedRequests = 0;
  const { connect: given } = options;
  const connect = typeof given === 'function' ? given : buildConnector({ ...given });

  const watchConnection = (socket: Socket): void => {
    state = 'open';
    startedRequests = 0;
    socket.once('end', () => {
      state = hasEndedInOrder(socket) ? 'ended' : 'broken';
    });
    const recordBreak = (): void => {
      if (state === 'open') state = 'broken';
    };
    socket.once('error', recordBreak);
    socket.once('close', recordBreak);
  };

  const client = new Client(origin, {
    ...options,
    connect: (target, callback) =>
      connect(target, (...result) => {
        // Before undici adds its own listeners, which complete a response.
        if (result[1]) watchConnection(result[1]);
        callback(...result);
      }),
  });
  return client.compose(
    (dispatch) => (request, handler) =>
      dispatch(
        request,
        decorateHandler(handler, {
          onRequestStart: (controller, context: object) => {
            const own: RequestContext = { earlierRequests: startedRequests };
            startedRequests += 1;
            handler.onRequestStart?.(controller, { ...context, ...own });
          },
          onResponseStart: (controller, status, ...head) => {
            if (status < MIN_STATUS || status > MAX_STATUS)
              controller.abort(buildStatusError(status));
            else handler.onResponseStart?.(controller, status, ...head);
          },
          onResponseEnd: (controller, trailers) => {
            if (state === 'broken') handler.onResponseError?.(controller, buildResetError());
            else handler.onResponseEnd?.(controller, trailers);
          },
        }),
      ),
  );
};
