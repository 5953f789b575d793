import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import type { Dispatcher } from 'undici';
import { createOrderlyAgent, createOrderlyClient, RESET_CODE } from '..';

const HEAD = 'HTTP/1.1 200 OK\r\nconnection: close\r\n';

/** Starts a server that answers each connection's first request by `answer`. */
const startServer = async (
  t: ExecutionContext,
  answer: (socket: Socket) => void,
): Promise<string> => {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => answer(socket));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const read = async (
  t: ExecutionContext,
  answer: (socket: Socket) => void,
  createDispatcher: (origin: string) => Dispatcher = (origin) => createOrderlyClient(origin, {}),
): Promise<string> => {
  const origin = await startServer(t, answer);
  const client = createDispatcher(origin);
  t.teardown(() => client.destroy());
  const { body } = await client.request({ origin, path: '/', method: 'GET' });
  return body.text();
};

test('a response without a length is whole if its connection ended in order', async (t) => {
  t.is(await read(t, (socket) => socket.end(`${HEAD}\r\nall of it`)), 'all of it');
});

test('a response without a length fails if a reset came with its last bytes', async (t) => {
  const breakOff = (socket: Socket): void => {
    socket.write(`${HEAD}\r\nhalf`);
    socket.resetAndDestroy();
  };
  await t.throwsAsync(read(t, breakOff), { code: RESET_CODE });
  await t.throwsAsync(
    read(t, breakOff, () => createOrderlyAgent({})),
    { code: RESET_CODE },
  );
});

test('a response without a length fails if a reset comes later', async (t) => {
  for (const delayMs of [0, 1, 3, 30]) {
    const breakOff = (socket: Socket): void => {
      socket.write(`${HEAD}\r\nhalf`);
      setTimeout(() => socket.resetAndDestroy(), delayMs);
    };
    await t.throwsAsync(read(t, breakOff), undefined, `${delayMs} ms`);
  }
});

test('a response fails if its connection was reset while nobody read it', async (t) => {
  const origin = await startServer(t, (socket) => {
    socket.write(`${HEAD}\r\n${'x'.repeat(4_000_000)}`, () => socket.resetAndDestroy());
  });
  const client = createOrderlyClient(origin, {});
  t.teardown(() => client.destroy());
  const { body } = await client.request({ path: '/', method: 'GET' });
  await new Promise((resolve) => {
    setTimeout(resolve, 50);
  });
  await t.throwsAsync(body.text());
});

test('a response with a length or chunks is whole however its connection ends', async (t) => {
  for (const framed of [
    'content-length: 3\r\n\r\nall',
    'transfer-encoding: chunked\r\n\r\n3\r\nall\r\n0\r\n\r\n',
  ]) {
    const answer = (socket: Socket): void => {
      socket.write(`${HEAD}${framed}`);
      socket.resetAndDestroy();
    };
    t.is(await read(t, answer), 'all');
  }
});

test('a response with a length or chunks fails if its connection ends before it', async (t) => {
  for (const framed of [
    'content-length: 5\r\n\r\nhalf',
    'transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n',
  ]) {
    await t.throwsAsync(read(t, (socket) => socket.end(`${HEAD}${framed}`)));
  }
});

test('a client goes on with a new connection after one that broke', async (t) => {
  let answers = 0;
  const origin = await startServer(t, (socket) => {
    answers += 1;
    if (answers > 1) socket.end(`${HEAD}\r\nall of it`);
    else {
      socket.write(`${HEAD}\r\nhalf`);
      socket.resetAndDestroy();
    }
  });
  const client = createOrderlyClient(origin, {});
  t.teardown(() => client.destroy());
  const readOnce = async (): Promise<string> =>
    (await client.request({ path: '/', method: 'GET' })).body.text();
  await t.throwsAsync(readOnce());
  t.is(await readOnce(), 'all of it');
});

// Guards against a server in trouble whose status is passed on to callers as an answer.
test('a response fails if its status is outside of what HTTP defines', async (t) => {
  for (const status of ['000', '099', '600', '999']) {
    const answer = (socket: Socket): void => {
      socket.end(`HTTP/1.1 ${status} Odd\r\ncontent-length: 3\r\n\r\nodd`);
    };
    await t.throwsAsync(read(t, answer), undefined, status);
    await t.throwsAsync(
      read(t, answer, () => createOrderlyAgent({})),
      undefined,
      status,
    );
  }
  const edge = 'HTTP/1.1 599 Edge\r\ncontent-length: 4\r\n\r\nedge';
  t.is(await read(t, (socket) => socket.end(edge)), 'edge');
});
