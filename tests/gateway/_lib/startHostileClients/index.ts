import { connect, type Socket } from 'node:net';
import { setTimeout } from 'node:timers/promises';
import { HEADERS } from '../../../../platform';
import { TEST_KEY } from '../../../../standins/gateway';

/** What a hostile client sends on a connection. */
export const HOSTILE_FORMS = [
  'chunks of 1 byte',
  'large chunks',
  'requests ahead',
  'requests with small bodies ahead',
  'endless trailers',
  'endless chunk extension',
  'endless head',
] as const;

/** One of the forms of hostile clients. */
export type HostileForm = (typeof HOSTILE_FORMS)[number];

/** Some clients that behave alike. */
export interface HostileGroup {
  readonly form: HostileForm;
  readonly target: string;
  readonly clients: number;
  /** Largest body that the gateway takes; bodies end one byte before it. */
  readonly maxBodyBytes: number;
}

/** Clients that send more than they may, and read no answer. */
export interface HostileClients {
  /** Resolves once all bytes are sent, or refused, and at a fixed time at the latest. */
  waitUntilSent(): Promise<void>;
  stop(): void;
}

/** Connections that a client opens one after another, if the gateway closes them. */
const CONNECTIONS = 3;

const REQUESTS_AHEAD = 20_000;

const ENDLESS_BYTES = 2_000_000;

const LARGE_CHUNK_BYTES = 262_144;

/** Longest time for which the clients send. */
const SENDING_MS = 10_000;

/** Time in which the gateway reads what was sent last. */
const READING_MS = 2000;

const formatHead = (target: string, framing: string): string =>
  [
    `POST ${target} HTTP/1.1`,
    'host: a.example',
    `${HEADERS.requestId}: hostile`,
    `${HEADERS.deadlineMs}: 20000`,
    `${HEADERS.authorization}: Bearer ${TEST_KEY}`,
    framing,
    '',
    '',
  ].join('\r\n');

const formatChunkedHead = (target: string): string =>
  formatHead(target, 'transfer-encoding: chunked');

const formatChunks = (bytes: number, chunkBytes: number): string => {
  const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`;
  return chunk.repeat(Math.floor(bytes / chunkBytes));
};

/** By form: the bytes that a client sends. */
const FORMATS: Readonly<Record<HostileForm, (group: HostileGroup) => string>> = {
  'chunks of 1 byte': ({ maxBodyBytes, target }) =>
    formatChunkedHead(target) + formatChunks(maxBodyBytes - 1, 1),
  'large chunks': ({ maxBodyBytes, target }) =>
    formatChunkedHead(target) + formatChunks(maxBodyBytes - 1, LARGE_CHUNK_BYTES),
  'requests ahead': ({ target }) => formatHead(target, 'content-length: 0').repeat(REQUESTS_AHEAD),
  'requests with small bodies ahead': ({ target }) =>
    `${formatChunkedHead(target)}${formatChunks(2, 1)}0\r\n\r\n`.repeat(REQUESTS_AHEAD),
  'endless trailers': ({ target }) =>
    `${formatChunkedHead(target)}${formatChunks(1, 1)}0\r\n${'x: y\r\n'.repeat(ENDLESS_BYTES / 6)}`,
  'endless chunk extension': ({ target }) =>
    `${formatChunkedHead(target)}1;x=${'y'.repeat(ENDLESS_BYTES)}`,
  'endless head': ({ target }) => `POST ${target} HTTP/1.1\r\nx: ${'y'.repeat(ENDLESS_BYTES)}`,
};

/** Starts groups of hostile clients; each leaves its connection open. */
export const startHostileClients = (
  url: string,
  groups: readonly HostileGroup[],
): HostileClients => {
  const { hostname, port } = new URL(url);
  const sockets = new Set<Socket>();
  let isStopped = false;

  /** Resolves once the bytes are sent or the connection is closed. */
  const send = (bytes: Buffer): Promise<'sent' | 'closed'> =>
    new Promise((resolve) => {
      const socket = connect({ host: hostname, port: Number(port) });
      sockets.add(socket);
      socket.pause();
      socket.on('error', () => undefined);
      socket.once('close', () => {
        sockets.delete(socket);
        resolve('closed');
      });
      socket.write(bytes, (error) => {
        if (!error) resolve('sent');
      });
    });

  const runClient = async (bytes: Buffer): Promise<void> => {
    for (let count = 0; count < CONNECTIONS && !isStopped; count += 1) {
      if ((await send(bytes)) === 'sent') return;
    }
  };

  const sent = Promise.all(
    groups.flatMap((group) => {
      // Shared by the clients, so that the crowd itself takes little memory and time.
      const bytes = Buffer.from(FORMATS[group.form](group));
      return Array.from({ length: group.clients }, () => runClient(bytes));
    }),
  );

  return {
    waitUntilSent: async () => {
      const stopped = new AbortController();
      const { signal } = stopped;
      const limit = setTimeout(SENDING_MS, undefined, { signal }).catch(() => undefined);
      await Promise.race([sent, limit]);
      stopped.abort();
      await setTimeout(READING_MS);
    },
    stop: () => {
      isStopped = true;
      sockets.forEach((socket) => socket.destroy());
    },
  };
};
