import { once } from 'node:events';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { z } from 'zod';
import { PATHS, HEADERS } from '../../../platform';
import { drawLoopbackHost } from '../../_lib/drawLoopbackHost';
import { readBody } from '../../_lib/readBody';

/** How the store handles calls. */
export type StoreMode = 'up' | 'refuse' | 'reset' | 'silent';

/** A stand-in of the platform's store: rows, full reads and feeds. */
export interface StandInStore {
  readonly url: string;
  /** Writes or, with null, removes a row. */
  writeRow(table: string, key: string, value: unknown): void;
  /** Writes a row whose value is this text, which may be malformed. */
  writeText(table: string, key: string, text: string): void;
  /** Outages close the connections, except `silent`: there pending calls get no answer. */
  setMode(mode: StoreMode): void;
  /** From now on, feeds that start at an older version get 410. */
  dropHistory(): void;
  /** Saves a snapshot of all rows. */
  saveSnapshot(): void;
  /** Restores the snapshot in a new era: later writes are lost, and versions go back. */
  restoreSnapshot(): void;
  /** Resolves on the next call of the path. */
  waitForCall(path: string): Promise<void>;
  stop(): Promise<void>;
}

interface Row {
  readonly table: string;
  readonly key: string;
  readonly value: string | null;
  readonly ver: number;
}

const RowKeySchema = z.object({ table: z.string(), part: z.literal(''), key: z.string() });

const ChangesSchema = z.object({
  expected_revision: z.array(RowKeySchema.extend({ ver: z.number() })),
  writes: z.array(RowKeySchema.extend({ value: z.string() })),
  remove: z.array(RowKeySchema),
});

const REFUSED_STATUS = 503;
const HISTORY_LOST_STATUS = 410;
const CONFLICT_STATUS = 412;

const encodeRow = ({ value, ...row }: Row) => ({
  ...row,
  part: '',
  ...(value === null ? { tombstone: true } : { value }),
});

/** Starts a stand-in of the platform's store on a free port. */
export const createStandInStore = async (): Promise<StandInStore> => {
  const rows = new Map<string, Row>();
  const sockets = new Set<Socket>();
  const timers = new Set<NodeJS.Timeout>();
  let feedWaiters: (() => void)[] = [];
  let callWaiters: { readonly path: string; readonly resolve: () => void }[] = [];
  let mode: StoreMode = 'up';
  let version = 0;
  let historyStart = 0;
  let era = 1;
  let snapshot: { readonly rows: readonly (readonly [string, Row])[]; readonly version: number } = {
    rows: [],
    version: 0,
  };

  const sendJson = (response: ServerResponse, status: number, body: unknown): void => {
    response.writeHead(status, {
      'content-type': 'application/json',
      [HEADERS.storeEra]: String(era),
    });
    response.end(JSON.stringify(body));
  };

  const listRows = (table: string, after: number): Row[] =>
    [...rows.values()]
      .filter((row) => row.table === table && row.ver > after)
      .sort((left, right) => left.ver - right.ver);

  const handleFeed = (query: URLSearchParams, response: ServerResponse): void => {
    const after = Number(query.get('after_revision'));
    const table = query.get('table') ?? '';
    if (after < historyStart || after > version) {
      sendJson(response, HISTORY_LOST_STATUS, {});
      return;
    }
    const send = (): void =>
      sendJson(response, 200, {
        rows: listRows(table, after).map(encodeRow),
        ver: version,
        now_ms: performance.now(),
      });
    if (listRows(table, after).length > 0) {
      send();
      return;
    }
    const timer = setTimeout(send, Number(query.get('wait_ms')));
    timers.add(timer);
    const wake = (): void => {
      if (response.writableEnded || listRows(table, after).length === 0) return;
      clearTimeout(timer);
      send();
    };
    feedWaiters.push(wake);
    response.on('close', () => {
      clearTimeout(timer);
      timers.delete(timer);
      feedWaiters = feedWaiters.filter((feed) => feed !== wake);
    });
  };

  const handleRead = (query: URLSearchParams, response: ServerResponse): void => {
    const found = listRows(query.get('table') ?? '', 0).filter(({ value }) => value !== null);
    sendJson(response, 200, {
      rows: found.map(encodeRow),
      truncated: false,
      ver: version,
      now_ms: performance.now(),
    });
  };

  const write = (table: string, key: string, value: string | null): void => {
    version += 1;
    rows.set(`${table}/${key}`, { table, key, value, ver: version });
    feedWaiters.forEach((wake) => wake());
  };

  const handleChange = async (
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> => {
    const changes = ChangesSchema.parse(JSON.parse(await readBody(request)));
    const isMet = changes.expected_revision.every(({ key, table, ver }) => {
      const row = rows.get(`${table}/${key}`);
      return (row && row.value !== null ? row.ver : 0) === ver;
    });
    if (!isMet) {
      sendJson(response, CONFLICT_STATUS, { ver: version, now_ms: performance.now() });
      return;
    }
    changes.writes.forEach(({ key, table, value }) => write(table, key, value));
    changes.remove.forEach(({ key, table }) => write(table, key, null));
    sendJson(response, 200, { ver: version, now_ms: performance.now() });
  };

  const HANDLERS: Readonly<
    Record<string, (query: URLSearchParams, response: ServerResponse) => void>
  > = { [PATHS.followRows]: handleFeed, [PATHS.readRows]: handleRead };

  const MODES: Readonly<
    Record<StoreMode, (request: IncomingMessage, response: ServerResponse) => void>
  > = {
    refuse: (_request, response) => sendJson(response, REFUSED_STATUS, {}),
    reset: (request) => request.socket.resetAndDestroy(),
    silent: () => undefined,
    up: (request, response) => {
      const url = new URL(request.url ?? '/', 'http://store');
      const handle = HANDLERS[url.pathname];
      if (handle) handle(url.searchParams, response);
      else if (url.pathname === PATHS.changeRows) handleChange(request, response);
      else sendJson(response, 404, {});
    },
  };

  const server = createServer((request, response) => {
    const [path = ''] = (request.url ?? '').split('?');
    callWaiters.filter((caller) => caller.path === path).forEach(({ resolve }) => resolve());
    callWaiters = callWaiters.filter((caller) => caller.path !== path);
    MODES[mode](request, response);
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  const host = drawLoopbackHost();
  server.listen(0, host);
  await once(server, 'listening');

  return {
    url: `http://${host}:${(server.address() as AddressInfo).port}`,
    writeRow: (table, key, value) => {
      const encoded = value === null ? null : Buffer.from(JSON.stringify(value)).toString('base64');
      write(table, key, encoded);
    },
    writeText: (table, key, text) => write(table, key, Buffer.from(text).toString('base64')),
    setMode: (next) => {
      mode = next;
      if (next === 'silent') {
        // Pending calls never get an answer: their connections stay open, also after the outage.
        timers.forEach(clearTimeout);
        feedWaiters = [];
      } else if (next !== 'up') sockets.forEach((socket) => socket.destroy());
    },
    dropHistory: () => {
      historyStart = version + 1;
      version += 1;
      sockets.forEach((socket) => socket.destroy());
    },
    saveSnapshot: () => {
      snapshot = { rows: [...rows], version };
    },
    restoreSnapshot: () => {
      rows.clear();
      snapshot.rows.forEach(([key, row]) => rows.set(key, row));
      version = snapshot.version;
      era += 1;
      sockets.forEach((socket) => socket.destroy());
    },
    waitForCall: (path) =>
      new Promise((resolve) => {
        callWaiters.push({ path, resolve });
      }),
    stop: async () => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
      await once(server, 'close');
    },
  };
};
