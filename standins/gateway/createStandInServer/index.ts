import { once } from 'node:events';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { PATHS, HEADERS } from '../../../platform';
import { drawLoopbackHost } from '../../_lib/drawLoopbackHost';
import { readBody } from '../../_lib/readBody';
import { formatStandInEvent } from '../formatStandInEvent';

/** A request as the server received it. */
export interface ReceivedRequest {
  readonly method: string;
  readonly target: string;
  readonly headers: IncomingMessage['headers'];
  readonly rawHeaders: readonly string[];
  readonly body: string;
  /** The connection of the request. */
  readonly socket: Socket;
  readonly response: ServerResponse;
  /** Resolves when the caller has closed the connection. */
  readonly closed: Promise<void>;
}

/** A stand-in backend server that a test controls event by event. */
export interface StandInServer {
  readonly id: string;
  /** IP:PORT. */
  readonly address: string;
  /** Resolves with the next request that is not a status request. */
  nextRequest(): Promise<ReceivedRequest>;
  /** Resolves with the connection of the next status request: report, cache, copy or health. */
  nextStatusRequest(): Promise<Socket>;
  /** Takes the oldest received request, or null if there is none. */
  takeRequest(): ReceivedRequest | null;
  /** Calls `listener` on each request. */
  addListener(listener: () => void): void;
  countRequests(): number;
  countConnections(): number;
  /** Sends a complete, signed answer. */
  answer(request: ReceivedRequest, status: number, body: string, headers?: Headers): void;
  /** Sends the signed head of a stream. */
  startStream(request: ReceivedRequest): void;
  /** Sends the events with ids from `first` to `last`. */
  sendEvents(request: ReceivedRequest, first: number, last: number): void;
  /** Counts events of a run as generated without sending them to the caller. */
  recordUnsentEvents(request: ReceivedRequest, events: number): void;
  /** From now on, leaves the final copy request of a moved run unanswered. */
  withholdFinalCopies(): void;
  /** Ends the process: all connections are reset, and new ones refused. */
  crash(): Promise<void>;
  /** Refuses new connections; open ones go on. */
  refuseConnections(): void;
  /** From now on, marks all answers with the leaving header. */
  leave(): void;
  /** From now on, leaves status requests unanswered. */
  ignoreStatusRequests(): void;
  /** From now on, answers nothing; connections stay open. */
  freeze(): void;
  stop(): Promise<void>;
}

type Headers = Readonly<Record<string, string>>;

const HEALTH_PATH = '/healthz';

const SIGNATURE = 'stand-in-stamp';

const DEFAULT_IDLE_MS = 5000;

/**
 * Starts a stand-in backend server, by default on a loopback address of its own.
 *
 * @param id - the server's id; requests that expect another server get 421
 * @param options.idleMs - time after which idle connections are closed
 */
export const createStandInServer = async (
  id: string,
  options: { readonly address?: string; readonly idleMs?: number } = {},
): Promise<StandInServer> => {
  const sockets = new Set<Socket>();
  const received: ReceivedRequest[] = [];
  /** Number of generated events, by the id of the run. */
  const runs = new Map<string, number>();
  const listeners: (() => void)[] = [];
  const statusWaiters: ((connection: Socket) => void)[] = [];
  let requests = 0;
  let connections = 0;
  let isFrozen = false;
  let ignoresStatusRequests = false;
  let isLeaving = false;
  let withholdsFinalCopies = false;

  const readRequestId = ({ headers }: Pick<ReceivedRequest, 'headers'>): string =>
    String(headers[HEADERS.requestId] ?? '');

  const sendReport = (response: ServerResponse): void => {
    const list = [...runs].map(([run, events]) => [run, 100, events, 5]);
    const report = { queued: 0, active: runs.size, kv_used: 0, kv_total: 88_000, runs: list };
    response.end(JSON.stringify(report));
  };

  const sendHandle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const { id: run, last } = JSON.parse(await readBody(request)) as { id: string; last: boolean };
    if (last && withholdsFinalCopies) return;
    response.end(JSON.stringify({ handle: `handle-${run}`, created: 1 }));
  };

  const STATUS_HANDLERS: Readonly<
    Record<string, (request: IncomingMessage, response: ServerResponse) => void>
  > = {
    [PATHS.report]: (_request, response) => sendReport(response),
    [PATHS.cachedPromptParts]: (_request, response) => {
      response.end(JSON.stringify({ epoch: 1, next: 1, held: [] }));
    },
    [PATHS.copyRun]: sendHandle,
    [HEALTH_PATH]: (_request, response) => {
      response.setHeader(HEADERS.serverId, id);
      response.end();
    },
  };

  const receive = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    if (isLeaving) response.setHeader(HEADERS.leaving, '1');
    const handleStatus = STATUS_HANDLERS[request.url ?? ''];
    if (handleStatus) statusWaiters.splice(0).forEach((resolve) => resolve(request.socket));
    if (isFrozen) return;
    if (handleStatus && ignoresStatusRequests) return;
    if (handleStatus) {
      handleStatus(request, response);
      return;
    }
    const taken: ReceivedRequest = {
      method: request.method ?? '',
      target: request.url ?? '',
      headers: request.headers,
      rawHeaders: request.rawHeaders,
      body: await readBody(request),
      socket: request.socket,
      response,
      closed: new Promise((resolve) => {
        request.socket.once('close', () => resolve());
      }),
    };
    if (request.headers[HEADERS.expectServer] !== id) {
      const head = { [HEADERS.serverId]: id, [HEADERS.requestId]: readRequestId(taken) };
      response.writeHead(421, head).end();
      return;
    }
    requests += 1;
    runs.set(readRequestId(taken), 0);
    response.on('close', () => runs.delete(readRequestId(taken)));
    received.push(taken);
    listeners.forEach((listener) => listener());
  };

  const server = createServer((request, response) => {
    receive(request, response);
  });
  server.keepAliveTimeout = options.idleMs ?? DEFAULT_IDLE_MS;
  server.on('connection', (socket) => {
    connections += 1;
    sockets.add(socket);
    // Each request on a keep-alive connection adds a listener for its close.
    socket.setMaxListeners(0);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => sockets.delete(socket));
  });
  const [host, port] = (options.address ?? `${drawLoopbackHost()}:0`).split(':');
  server.listen(Number(port), host);
  await once(server, 'listening');
  const address = `${host}:${(server.address() as AddressInfo).port}`;

  const buildHeaders = (request: ReceivedRequest, headers: Headers = {}): Headers => ({
    [HEADERS.requestId]: readRequestId(request),
    [HEADERS.signature]: SIGNATURE,
    ...headers,
  });
  const stop = async (): Promise<void> => {
    if (server.listening) server.close();
    else if (sockets.size === 0) return;
    sockets.forEach((socket) => socket.resetAndDestroy());
    await once(server, 'close');
  };

  return {
    id,
    address,
    nextStatusRequest: () =>
      new Promise((resolve) => {
        statusWaiters.push(resolve);
      }),
    takeRequest: () => received.shift() ?? null,
    addListener: (listener) => {
      listeners.push(listener);
    },
    nextRequest: () =>
      new Promise((resolve) => {
        let isTaken = false;
        const takeNext = (): void => {
          const first = isTaken ? undefined : received.shift();
          if (!first) return;
          isTaken = true;
          resolve(first);
        };
        listeners.push(takeNext);
        takeNext();
      }),
    countRequests: () => requests,
    countConnections: () => connections,
    answer: (request, status, body, headers) => {
      request.response.writeHead(status, {
        'content-length': String(Buffer.byteLength(body)),
        ...buildHeaders(request, headers),
      });
      request.response.end(body);
    },
    startStream: (request) => {
      request.response.writeHead(
        200,
        buildHeaders(request, { 'content-type': 'text/event-stream' }),
      );
      request.response.flushHeaders();
    },
    sendEvents: (request, first, last) => {
      for (let event = first; event <= last; event += 1) {
        request.response.write(formatStandInEvent(event));
      }
      runs.set(readRequestId(request), last);
    },
    recordUnsentEvents: (request, events) => {
      runs.set(readRequestId(request), events);
    },
    crash: stop,
    refuseConnections: () => {
      server.close();
    },
    leave: () => {
      isLeaving = true;
    },
    ignoreStatusRequests: () => {
      ignoresStatusRequests = true;
    },
    withholdFinalCopies: () => {
      withholdsFinalCopies = true;
    },
    freeze: () => {
      isFrozen = true;
    },
    stop,
  };
};
