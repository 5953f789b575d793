import type { ClientHttp2Session } from 'node:http2';
import { Http2SessionManager } from '@connectrpc/connect-node';

type Options = ConstructorParameters<typeof Http2SessionManager>[1];

/** Manages the single HTTP/2 connection to an address. */
export interface SessionManager extends Pick<
  Http2SessionManager,
  'authority' | 'request' | 'notifyResponseByteRead'
> {
  /** Closes the connection and all its streams, in a separate turn of the event loop. */
  abort(): void;
}

const ignoreError = (): void => undefined;

/**
 * Creates the manager of the connection to an address.
 *
 * The manager works around two faults of the library after a peer shuts down and sends GOAWAY:
 *
 * - The library destroys the connection with an error, which Node emits only once the socket has
 *   closed. If a call or a close happens in between, the library has already removed its listener,
 *   and the unhandled error ends this process; the last line of its output is then `received GOAWAY
 *   without any open streams`. A permanent listener on each connection prevents this and leaves the
 *   library's own listener in place.
 * - If several calls are refused at the same moment and `abort` runs in the turn of the event loop
 *   in which the first of them fails, `abort` never returns: the process stops responding, and its
 *   memory grows past 200 MB within a few hundred milliseconds. In a separate turn, `abort` returns
 *   at once.
 */
export const createSessionManager = (baseUrl: string, options: Options): SessionManager => {
  const manager = new Http2SessionManager(baseUrl, options);
  const sessionsWithListener = new WeakSet<ClientHttp2Session>();
  return {
    authority: manager.authority,
    request: async (method, path, headers, requestOptions) => {
      const stream = await manager.request(method, path, headers, requestOptions);
      const session = stream.session as ClientHttp2Session | undefined;
      if (session !== undefined && !sessionsWithListener.has(session)) {
        sessionsWithListener.add(session);
        session.on('error', ignoreError);
      }
      return stream;
    },
    notifyResponseByteRead: (stream) => manager.notifyResponseByteRead(stream),
    abort: () => {
      setImmediate(() => manager.abort());
    },
  };
};
