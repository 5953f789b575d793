import type { IncomingMessage, ServerResponse } from 'node:http';
import { pipeline } from 'node:stream/promises';
import type { Result } from 'neverthrow';
import {
  RELAY_HEADERS,
  RELAY_PREFIX,
  RELAY_UNFRAMED,
  type RelayedRequest,
  type RelayedResponse,
} from '../../../application/paths';
import type { AttemptError, EventLog } from '../../../application/ports';
import type { ServerEntry } from '../../../domain/forwarding';
import { filterHeaders } from '../../../http-connections';

/** Dependencies of the relay. */
export interface RelayDependencies {
  readonly findServer: (id: string) => ServerEntry | null;
  readonly relayRequest: (
    server: ServerEntry,
    request: RelayedRequest,
    signal: AbortSignal,
  ) => Promise<Result<RelayedResponse, AttemptError>>;
  /** Whether this VM shuts down and forwards no further requests of others. */
  readonly isDraining: () => boolean;
  readonly log: EventLog;
}

/** Forwards requests of other VMs to servers, on the links of this VM. */
export interface RelayHandler {
  handleRequest(incoming: IncomingMessage, response: ServerResponse): Promise<void>;
  countRunning(): number;
}

/** Requests of other VMs that are forwarded at a time. */
const MAX_RUNNING = 256;

const FAILURE_STATUS = 502;

/** Headers of one connection only (RFC 9110, section 7.6.1). */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
]);

const REQUEST_HEADERS: ReadonlySet<string> = new Set([
  ...CONNECTION_HEADERS,
  RELAY_HEADERS.server,
  RELAY_HEADERS.connection,
  RELAY_HEADERS.exchange,
]);

/** Builds the headers that name the server, and the request to which a reply belongs. */
const buildReplyHeaders = (incoming: IncomingMessage, id: string): Record<string, string> => {
  const exchange = incoming.headers[RELAY_HEADERS.exchange];
  return {
    [RELAY_HEADERS.server]: id,
    ...(typeof exchange === 'string' ? { [RELAY_HEADERS.exchange]: exchange } : {}),
  };
};

/**
 * Headers of a server that are not sent on. The response is sent on in chunks, since only after these
 * can a trailer tell how it ended; and only the relay itself speaks of the relay.
 */
const RESPONSE_HEADERS: ReadonlySet<string> = new Set([
  ...CONNECTION_HEADERS,
  ...Object.values(RELAY_HEADERS),
  'content-length',
]);

const filterResponseHeaders = (headers: RelayedResponse['headers']): RelayedResponse['headers'] =>
  Object.fromEntries(
    Object.entries(headers).filter(
      ([name, value]) => value !== undefined && !RESPONSE_HEADERS.has(name),
    ),
  );

const hasBody = ({ headers }: IncomingMessage): boolean =>
  headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;

/**
 * Sends the body of a server's response. If the server breaks it off, a trailer says how; where there
 * can be none, the connection is closed, as it is if nobody reads the response any more.
 */
const sendBody = async (
  { body, readEnd }: RelayedResponse,
  response: ServerResponse,
): Promise<void> => {
  try {
    await pipeline(body, response, { end: false });
    response.end();
  } catch (error) {
    if (!response.destroyed && response.chunkedEncoding) {
      response.addTrailers({ [RELAY_HEADERS.end]: readEnd(error) });
      response.end();
    } else response.destroy();
  }
};

/** Creates the relay of this VM. */
export const createRelayHandler = ({
  findServer,
  isDraining,
  log,
  relayRequest,
}: RelayDependencies): RelayHandler => {
  let running = 0;

  const sendFailure = (
    incoming: IncomingMessage,
    response: ServerResponse,
    id: string,
    { connection, foreign, reason }: Pick<AttemptError, 'connection' | 'foreign' | 'reason'>,
  ): void => {
    log.info('relayed request failed', {
      server: id,
      connection,
      reason,
      ...(foreign ? { answerId: foreign.answerId } : {}),
    });
    if (response.destroyed) return;
    // The rest of the request stays unread.
    if (!incoming.complete) response.shouldKeepAlive = false;
    response.writeHead(FAILURE_STATUS, {
      ...buildReplyHeaders(incoming, id),
      [RELAY_HEADERS.end]: connection,
      [RELAY_HEADERS.reason]: reason,
    });
    response.end();
  };

  const forward = async (
    incoming: IncomingMessage,
    response: ServerResponse,
    server: ServerEntry,
  ): Promise<void> => {
    const abort = new AbortController();
    // The other VM closes the connection if its caller has left or its attempt has timed out.
    response.once('close', () => abort.abort());
    const sent = await relayRequest(
      server,
      {
        method: incoming.method ?? 'GET',
        target: (incoming.url ?? '').slice(RELAY_PREFIX.length),
        headers: filterHeaders(incoming.rawHeaders, REQUEST_HEADERS),
        body: hasBody(incoming) ? incoming : null,
        newConnection: incoming.headers[RELAY_HEADERS.connection] !== undefined,
      },
      abort.signal,
    );
    if (sent.isErr()) {
      const { error } = sent;
      if (error.kind !== 'cancelled') sendFailure(incoming, response, server.id, error);
      return;
    }
    const { headers, isFramed, statusCode } = sent.value;
    response.writeHead(statusCode, {
      ...filterResponseHeaders(headers),
      ...buildReplyHeaders(incoming, server.id),
      ...(isFramed ? {} : { [RELAY_HEADERS.framing]: RELAY_UNFRAMED }),
    });
    response.flushHeaders();
    await sendBody(sent.value, response);
  };

  const findRefusal = (server: ServerEntry | null): string | null => {
    if (isDraining()) return 'the relay is shutting down';
    if (!server) return 'the relay does not know the server';
    return running >= MAX_RUNNING ? 'the relay has too many requests' : null;
  };

  return {
    countRunning: () => running,
    handleRequest: async (incoming, response) => {
      const id = String(incoming.headers[RELAY_HEADERS.server] ?? '');
      const server = findServer(id);
      const refusal = findRefusal(server);
      if (refusal !== null || !server) {
        sendFailure(incoming, response, id, { connection: 'unsent', reason: refusal ?? '' });
        return;
      }
      running += 1;
      try {
        await forward(incoming, response, server);
      } finally {
        running -= 1;
      }
    },
  };
};
