import type { ClientHttp2Session } from 'node:http2';
import { Http2SessionManager } from '@connectrpc/connect-node';

type Options = ConstructorParameters<typeof Http2SessionManager>[1];

/** Holds the one HTTP/2 connection to an address. */
export interface SessionManager extends Pick<
  Http2SessionManager,
  'authority' | 'request' | 'notifyResponseByteRead'
> {
  /** Closes the connection with all its streams, in a turn of the loop of its own. */
  abort(): void;
}

const ignoreError = (): void => undefined;

/**
 * Creates the manager of the connection to an address.
 *
 * What goes wrong: a peer shuts down and says GOAWAY; the library destroys the connection with an
 * error, which Node emits only once the socket has closed. If a call or a close comes in between,
 * the library has taken its listener off by then, and the error without a listener ends this
 * process. One notices by `received GOAWAY without any open streams` as its last words. A listener
 * of our own on each connection, which stays, prevents it; the library's own still does its work.
 *
 * Giving a connection up goes wrong too, where a peer has said GOAWAY and several calls on it are
 * refused at the same moment: done in the turn in which the first of them fails, it never returns; the
 * process answers nobody, and its memory grows past 200 MB within some hundred ms. In a turn of its own
 * it ends at once.
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
