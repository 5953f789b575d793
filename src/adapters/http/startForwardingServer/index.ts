import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { Result } from 'neverthrow';
import type { Forwarder, Refusal } from '../../../application/forwarding';
import type { ConnectionGate, HeldBytes, MemoryBudget } from '../../../application/overload';
import type { Clock, EventLog } from '../../../application/ports';
import { createArrivalDating } from '../../../application/time';
import type { ForwardingLimits, RequestHead } from '../../../domain/forwarding';
import type { MemoryUse } from '../../../domain/overload';
import { closeUnread } from '../_lib/closeUnread';
import { createLeaveDetector } from '../_lib/createLeaveDetector';
import { createCallerReply } from '../_lib/createCallerReply';
import { discardBody } from '../_lib/discardBody';
import { limitOpenRequests, MAX_OPEN_REQUESTS } from '../_lib/limitOpenRequests';
import { readBody } from '../_lib/readBody';
import { rejectMalformedRequests } from '../_lib/rejectMalformedRequests';
import { startListening, type ListeningServer, type ListenError } from '../_lib/startListening';
import { watchOpenRequests } from '../_lib/watchOpenRequests';
import { watchStall } from '../_lib/watchStall';

/** Head of a request as parsed by Node's HTTP server. */
export interface RawRequestHead {
  readonly method: string;
  readonly target: string;
  /** Names and values alternately, as sent. */
  readonly rawHeaders: readonly string[];
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedAtMs: number;
}

/** Dependencies of the forwarding server. */
export interface ForwardingServerDependencies {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly forwarder: Pick<Forwarder, 'forwardRequest'>;
  /** Decides which new connections are read; the others are closed unread. */
  readonly gate: Pick<ConnectionGate, 'acceptConnection'>;
  /** Bounds the bytes that are held for requests. */
  readonly memory: Pick<MemoryBudget, 'openRequest'>;
  /** Finds what the bytes of a request are held for. */
  readonly findMemoryUse: (head: RequestHead) => MemoryUse;
  /** Decodes a head; the error is the reason why the head is malformed. */
  readonly decodeHead: (raw: RawRequestHead) => Result<RequestHead, string>;
  /** Reads the limits in force; null before the first configuration. */
  readonly readLimits: () => ForwardingLimits | null;
  /** Whether the event loop runs late. */
  readonly isLate: () => boolean;
  /** Whether each connection is closed after its answer. */
  readonly isClosing: () => boolean;
}

/** A listening server that forwards requests. */
export interface ForwardingServer extends ListeningServer {
  /** Sets the timeouts of idle connections and of request headers. */
  applyLimits(limits: ForwardingLimits): void;
  closeIdleConnections(): void;
  /** Counts the requests whose answers callers have not received yet. */
  countOpen(): number;
}

/** Limits before the first configuration. */
const DEFAULT_LIMITS: ForwardingLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_048_576,
  headerTimeoutMs: 5000,
  idleTimeoutMs: 5000,
};

/** Hard limit of the parser; the configured, lower limit is checked afterwards. */
const MAX_PARSED_HEADER_BYTES = 65_536;

/** Bytes of a header besides name and value: colon, space, carriage return and line feed. */
const HEADER_OVERHEAD_BYTES = 4;

const countHeaderBytes = (rawHeaders: readonly string[]): number =>
  rawHeaders.reduce((sum, text) => sum + text.length, 0) +
  (rawHeaders.length / 2) * HEADER_OVERHEAD_BYTES;

/** Memory that a request takes besides its body: its connections, parsers and timers. */
const REQUEST_OVERHEAD_BYTES = 16_384;

const NO_MEMORY: Refusal = {
  kind: 'not-run',
  reason: 'this VM holds too many bytes of requests',
  // Another VM may take the request at once.
  retryAfterMs: 50,
};

/** By kind of error: why a body was not read to its end. */
const BODY_REJECTIONS: Readonly<Record<string, string>> = {
  'body-too-large': 'the body is too long',
  'body-too-fragmented': 'the body has too many parts',
};

/** Rejects a request without forwarding it, and closes the connection with the rest unread. */
const rejectRequest = (response: ServerResponse, status: number, reason: string): void => {
  response.shouldKeepAlive = false;
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify({ error: reason }));
};

/**
 * Starts the server for callers whose requests are forwarded.
 *
 * The server uses Node's HTTP server directly, since it closes, keeps or aborts each connection
 * individually, which adapters for standard requests and responses do not support.
 *
 * @param listen - host and port; port 0 selects a free port
 */
export const startForwardingServer = async (
  dependencies: ForwardingServerDependencies,
  listen: { readonly host: string; readonly port: number },
): Promise<Result<ForwardingServer, ListenError>> => {
  const { clock, decodeHead, findMemoryUse, forwarder, gate, isClosing, isLate, log, memory } =
    dependencies;
  const { readLimits } = dependencies;
  const open = new Set<ServerResponse>();
  const dating = createArrivalDating(clock);
  const waitForLeaves = createLeaveDetector({ clock, isLate });

  const reject = (
    incoming: IncomingMessage,
    response: ServerResponse,
    status: number,
    reason: string,
  ): void => {
    log.warn('request rejected', { status, reason, method: incoming.method ?? '' });
    rejectRequest(response, status, reason);
  };

  const handleHeld = async (
    incoming: IncomingMessage,
    response: ServerResponse,
    held: HeldBytes,
  ): Promise<void> => {
    const limits = readLimits() ?? DEFAULT_LIMITS;
    const sentSinceMs = dating.readSentSinceMs();
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
    watchStall(incoming, response, {
      timeoutMs: limits.idleTimeoutMs,
      handleStall: (part) => {
        const { requestId } = head.value;
        log.warn('caller stalled', { requestId, part, timeoutMs: limits.idleTimeoutMs });
        response.destroy();
      },
    });
    const reply = createCallerReply(response, { held, isClosing });
    const use = findMemoryUse(head.value);
    const refuse = (): void => {
      log.info('request refused', { requestId: head.value.requestId, ...NO_MEMORY });
      reply.sendRefusal(NO_MEMORY);
      discardBody(incoming, limits.maxBodyBytes);
    };
    if (!held.acquire(use, REQUEST_OVERHEAD_BYTES)) return refuse();
    const body = await readBody(incoming, limits.maxBodyBytes, {
      acquireBytes: (bytes) => held.acquire(use, bytes),
    });
    if (body.isErr()) {
      if (body.error.kind === 'no-memory') return refuse();
      const reason = BODY_REJECTIONS[body.error.kind];
      return reason === undefined ? undefined : reject(incoming, response, 413, reason);
    }
    await waitForLeaves();
    const { buffer, byteOffset, byteLength } = body.value;
    return forwarder.forwardRequest(
      { ...head.value, sentSinceMs, body: Buffer.from(buffer, byteOffset, byteLength) },
      reply,
    );
  };

  const handle = async (incoming: IncomingMessage, response: ServerResponse): Promise<void> => {
    const held = memory.openRequest();
    open.add(response);
    const closed = new Promise<void>((resolve) => {
      response.once('close', () => {
        open.delete(response);
        resolve();
      });
    });
    try {
      await handleHeld(incoming, response, held);
    } finally {
      // An answer that was written stays in memory until the caller has read it.
      closed.then(held.release);
    }
  };

  const server = createServer(
    { maxHeaderSize: MAX_PARSED_HEADER_BYTES, requireHostHeader: false, noDelay: true },
    (incoming, response) => {
      handle(incoming, response).catch((error: unknown) => {
        const reason = error instanceof Error ? error.message : 'unknown';
        log.error('request failed unexpectedly', { reason });
        response.destroy();
      });
    },
  );
  const openRequests = watchOpenRequests(server);
  limitOpenRequests(server, openRequests, () =>
    log.warn('connection closed', { reason: 'too many open requests', max: MAX_OPEN_REQUESTS }),
  );
  server.requestTimeout = 0;
  closeUnread(server, gate);
  rejectMalformedRequests(server, openRequests, (reason) =>
    log.warn('request rejected', { status: 400, reason }),
  );
  const applyLimits = (limits: ForwardingLimits): void => {
    server.keepAliveTimeout = limits.idleTimeoutMs;
    server.headersTimeout = limits.headerTimeoutMs;
  };
  applyLimits(DEFAULT_LIMITS);

  const listening = await startListening(server, listen);
  if (listening.isErr()) dating.stop();
  return listening.map((listeningServer) => ({
    ...listeningServer,
    stop: async () => {
      dating.stop();
      await listeningServer.stop();
    },
    applyLimits,
    closeIdleConnections: () => {
      // Node.js takes a connection for idle whose answer is complete but not sent yet.
      const isSending = [...open].some((one) => one.writableEnded && !one.writableFinished);
      if (!isSending) server.closeIdleConnections();
    },
    countOpen: () => open.size,
  }));
};
