import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import type { Result } from 'neverthrow';
import type { Forwarder } from '../../../application/forwarding';
import type { Clock, EventLog } from '../../../application/ports';
import type { ForwardingLimits, RequestHead } from '../../../domain/forwarding';
import { createCallerReply } from '../_lib/createCallerReply';
import { readBody } from '../_lib/readBody';
import { startListening, type ListeningServer, type ListenError } from '../_lib/startListening';

/** A request as the HTTP library read it. */
export interface RawRequestHead {
  readonly method: string;
  readonly target: string;
  /** Name, value, name, value, as sent. */
  readonly rawHeaders: readonly string[];
  /** Monotonic milliseconds. */
  readonly arrivedAtMs: number;
}

/** What a forwarding server needs. */
export interface ForwardingServerDependencies {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly forwarder: Forwarder;
  /** Decodes a head, or says why it is malformed. */
  readonly decodeHead: (raw: RawRequestHead) => Result<RequestHead, string>;
  /** Null before a configuration is known. */
  readonly readLimits: () => ForwardingLimits | null;
  /** True: each connection is closed after its answer. */
  readonly isClosing: () => boolean;
}

/** A listening server that forwards requests. */
export interface ForwardingServer extends ListeningServer {
  /** Sets how long connections may be idle, and how long headers may take. */
  applyLimits(limits: ForwardingLimits): void;
  closeIdleConnections(): void;
}

/** Until a configuration is known. */
const DEFAULT_LIMITS: ForwardingLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_048_576,
  headerTimeoutMs: 5000,
  idleTimeoutMs: 5000,
};

/** Most that the parser takes of a head; the configured limit is checked on top. */
const MAX_PARSED_HEADER_BYTES = 65_536;

/** Bytes of a header besides its name and value: colon, space, carriage return, line feed. */
const HEADER_OVERHEAD_BYTES = 4;

const countHeaderBytes = (rawHeaders: readonly string[]): number =>
  rawHeaders.reduce((sum, text) => sum + text.length, 0) +
  (rawHeaders.length / 2) * HEADER_OVERHEAD_BYTES;

/** Answers a request that is never forwarded, and closes its connection: the rest is not read. */
const rejectRequest = (response: ServerResponse, status: number, reason: string): void => {
  response.shouldKeepAlive = false;
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify({ error: reason }));
};

/** Statuses for what the parser refuses. */
const STATUS_BY_PARSE_ERROR: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

/**
 * Starts the server for callers whose requests are forwarded.
 *
 * It stands on Node's own HTTP server: connections are closed, kept and broken off one by one here,
 * which an adapter for standard requests and responses hides.
 *
 * @param listen - host and port; port 0 takes a free one
 */
export const startForwardingServer = async (
  dependencies: ForwardingServerDependencies,
  listen: { readonly host: string; readonly port: number },
): Promise<Result<ForwardingServer, ListenError>> => {
  const { clock, decodeHead, forwarder, isClosing, log, readLimits } = dependencies;

  const reject = (
    incoming: IncomingMessage,
    response: ServerResponse,
    status: number,
    reason: string,
  ): void => {
    log.warn('request rejected', { status, reason, method: incoming.method ?? '' });
    rejectRequest(response, status, reason);
  };

  const handle = async (incoming: IncomingMessage, response: ServerResponse): Promise<void> => {
    const limits = readLimits() ?? DEFAULT_LIMITS;
    const head = decodeHead({
      method: incoming.method ?? '',
      target: incoming.url ?? '',
      rawHeaders: incoming.rawHeaders,
      arrivedAtMs: clock.readMonotonicMs(),
    });
    if (countHeaderBytes(incoming.rawHeaders) > limits.maxHeaderBytes) {
      return reject(incoming, response, 431, 'the headers are too long');
    }
    if (head.isErr()) return reject(incoming, response, 400, head.error);
    const reply = createCallerReply(response, { isClosing });
    const body = await readBody(incoming, limits.maxBodyBytes);
    if (body.isErr()) {
      if (body.error.kind !== 'body-too-large') return undefined;
      return reject(incoming, response, 413, 'the body is too long');
    }
    const { buffer, byteOffset, byteLength } = body.value;
    return forwarder.forwardRequest(
      { ...head.value, body: Buffer.from(buffer, byteOffset, byteLength) },
      reply,
    );
  };

  const answeringSockets = new WeakSet<Duplex>();
  const server = createServer(
    { maxHeaderSize: MAX_PARSED_HEADER_BYTES, requireHostHeader: false, noDelay: true },
    (incoming, response) => {
      const { socket } = incoming;
      answeringSockets.add(socket);
      response.once('close', () => {
        if (response.shouldKeepAlive) answeringSockets.delete(socket);
      });
      handle(incoming, response).catch((error: unknown) => {
        const reason = error instanceof Error ? error.message : 'unknown';
        log.error('request failed unexpectedly', { reason });
        response.destroy();
      });
    },
  );
  server.requestTimeout = 0;
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) => {
    // Bytes after a request that is being answered, or was rejected, get no answer of their own:
    // it would stand where another one is due.
    if (!socket.writable || error.code === 'ECONNRESET' || answeringSockets.has(socket)) {
      socket.destroy();
      return;
    }
    log.warn('request rejected', { status: 400, reason: error.code ?? error.message });
    const status = STATUS_BY_PARSE_ERROR[error.code ?? ''] ?? '400 Bad Request';
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  });
  const applyLimits = (limits: ForwardingLimits): void => {
    server.keepAliveTimeout = limits.idleTimeoutMs;
    server.headersTimeout = limits.headerTimeoutMs;
  };
  applyLimits(DEFAULT_LIMITS);

  const listening = await startListening(server, listen);
  return listening.map((listeningServer) => ({
    ...listeningServer,
    applyLimits,
    closeIdleConnections: () => server.closeIdleConnections(),
  }));
};
