import { once } from 'node:events';
import { createServer, Socket, type AddressInfo } from 'node:net';
import { setImmediate as waitForLoop } from 'node:timers/promises';
import test, { type ExecutionContext } from 'ava';
import { Client, type Dispatcher } from 'undici';
import { createOrderlyClient, isUnwritten, sendRequest } from '..';
import { CONNECT_CODES, createSocketBreaker } from '../../../tests/_lib/createSocketBreaker';

/** A server that passes the connection of each request to `handle`, with the request's text. */
const startServer = async (
  t: ExecutionContext,
  handle: (socket: Socket, text: string) => void,
): Promise<string> => {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => handle(socket, bytes.toString()));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const openClient = (
  t: ExecutionContext,
  origin: string,
  options: Client.Options = {},
): Dispatcher => {
  const client = createOrderlyClient(origin, { pipelining: 1, ...options });
  t.teardown(() => client.destroy());
  return client;
};

/** Sends a request that fails, and returns its error. */
const sendFailing = (
  t: ExecutionContext,
  dispatcher: Dispatcher,
  change: Partial<Dispatcher.RequestOptions> = {},
): Promise<Error | undefined> =>
  t.throwsAsync(
    sendRequest(() => ({
      dispatcher,
      options: { path: '/x', method: 'POST', body: 'x', ...change },
    })),
  );

const answer = (socket: Socket, headers = ''): boolean =>
  socket.write(`HTTP/1.1 200 OK\r\ncontent-length: 2\r\n${headers}\r\nok`);

test('a request whose connection was not made was not written', async (t) => {
  t.true(isUnwritten(await sendFailing(t, openClient(t, 'http://127.0.0.1:1'))));
  for (const code of [...CONNECT_CODES, 'ECONNRESET', 'EMFILE']) {
    const client = openClient(t, 'http://127.0.0.1:1', {
      connect: (_target, callback) => callback(Object.assign(new Error(code), { code }), null),
    });
    const error = await sendFailing(t, client);
    t.true(isUnwritten(error), code);
    t.is((error as { code?: unknown }).code, code);
  }
});

test('a request for which no connection could be asked was not written', async (t) => {
  const sent = sendRequest(() => ({
    dispatcher: new Client('http://127.0.0.09:80'),
    options: { path: '/x', method: 'GET' },
  }));
  t.true(isUnwritten(await t.throwsAsync(sent)));
  const client = openClient(t, 'http://127.0.0.1:1');
  t.true(isUnwritten(await sendFailing(t, client, { path: '/\0' })));
});

test('a request that is aborted before its connection was made was not written', async (t) => {
  const texts: string[] = [];
  const origin = await startServer(t, (_socket, text) => texts.push(text));
  const abort = new AbortController();
  const failing = sendFailing(t, openClient(t, origin), { signal: abort.signal });
  abort.abort();
  t.true(isUnwritten(await failing));
  await waitForLoop();
  t.deepEqual(texts, []);
});

test('a request that was written stays written, whatever its connection ends with', async (t) => {
  const breaker = createSocketBreaker();
  t.teardown(breaker.stop);
  for (const code of [...CONNECT_CODES, 'ECONNRESET']) {
    const origin = await startServer(t, (socket) => breaker.breakOff(socket, code));
    t.false(isUnwritten(await sendFailing(t, openClient(t, origin))), code);
  }
});

test('a request that is aborted after it was written stays written', async (t) => {
  const abort = new AbortController();
  const origin = await startServer(t, () => abort.abort(new Error('left')));
  t.false(isUnwritten(await sendFailing(t, openClient(t, origin), { signal: abort.signal })));
});

test('nothing is on the connection when the client announces a request', async (t) => {
  const written: number[] = [];
  const origin = await startServer(t, (socket) => answer(socket));
  let opened: Socket | null = null;
  const client = new Client(origin, {
    connect: (target, callback) => {
      const socket = new Socket().connect(Number(target.port), target.hostname);
      opened = socket;
      socket.once('connect', () => callback(null, socket));
    },
  });
  t.teardown(() => client.destroy());
  const watched = client.compose((dispatch) => (options, handler) => {
    const start = handler.onRequestStart?.bind(handler);
    return dispatch(
      options,
      Object.assign(handler, {
        onRequestStart: (...args: Parameters<NonNullable<typeof start>>) => {
          written.push(opened?.bytesWritten ?? -1);
          start?.(...args);
        },
      }),
    );
  });
  for (let sent = 0; sent < 3; sent += 1) {
    const { body } = await sendRequest(() => ({
      dispatcher: watched,
      options: { path: '/x', method: 'GET' },
    }));
    await body.dump();
    written.push(opened!.bytesWritten);
  }
  const [first = 0, second = 0, third = 0, ...rest] = [written[1], written[3], written[5]];
  t.deepEqual(written, [0, first, first, second, second, third]);
  t.true(first > 0 && second > first && third > second && rest.length === 0);
});

// Guards against requests that run twice: the client takes some ends of a connection for its own
// doing, and sends the request that ran on it again on a new one.
test('a request is never written again', async (t) => {
  const breaker = createSocketBreaker();
  t.teardown(breaker.stop);
  const texts: string[] = [];
  const origin = await startServer(t, (socket, text) => {
    texts.push(text);
    breaker.breakOff(socket, 'UND_ERR_INFO');
  });
  const error = await sendFailing(t, openClient(t, origin));
  t.false(isUnwritten(error));
  t.is(texts.length, 1);
});

test('requests that follow each other on breaking connections arrive once each', async (t) => {
  const ids: string[] = [];
  const ends: readonly ((socket: Socket) => void)[] = [
    (socket) => answer(socket),
    (socket) => answer(socket, 'connection: close\r\n'),
    (socket) => socket.end(),
    (socket) => socket.resetAndDestroy(),
    (socket) => {
      answer(socket);
      socket.end();
    },
    (socket) => {
      answer(socket);
      answer(socket);
    },
  ];
  const origin = await startServer(t, (socket, text) => {
    const id = /^GET \/(\d+) /.exec(text)?.[1] ?? '';
    ids.push(id);
    ends[Number(id) % ends.length]?.(socket);
  });
  const client = openClient(t, origin);
  const sendOne = async (id: number): Promise<boolean> => {
    try {
      const options = { path: `/${id}`, method: 'GET' } as const;
      const { body } = await sendRequest(() => ({ dispatcher: client, options }));
      await body.dump();
      return true;
    } catch (error) {
      return !isUnwritten(error);
    }
  };
  const all = Array.from({ length: 300 }, (_, id) => id);
  const outcomes = await Promise.all(all.map(sendOne));
  const written = all.filter((id) => outcomes[id]);
  t.deepEqual(ids.toSorted(), written.map(String).toSorted());
});
