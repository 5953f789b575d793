import { createServer, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setImmediate as waitForLoop } from 'node:timers/promises';
import test from 'ava';
import { buildSampleConfiguration, createFakeClock } from '../../../../standins/fakes';
import { CONNECT_CODES, createSocketBreaker } from '../../../../tests/_lib/createSocketBreaker';
import { buildRequest } from '../../../../tests/support/createTestEntry';
import type { EngineStream } from '../../../application/ports';
import type { TokenBatch } from '../../../domain/types';
import { createHttpEngineClient } from '..';

const START = {
  request: buildRequest({ body: { model: 'x', max_completion_tokens: 9 } }),
  model: 'review',
  adapter: '',
  streamId: 'gen_1.1.ab',
  prefixTokenIds: [7, 8],
  priority: 1,
};

const formatEvent = (id: string, tokenIds: readonly number[], finish: string | null = null) =>
  `id: ${id}\ndata: ${JSON.stringify({
    choices: [{ delta: { content: 'é', token_ids: tokenIds }, finish_reason: finish }],
  })}\n\n`;

const readAll = async (stream: EngineStream) => {
  const batches: TokenBatch[] = [];
  for await (const result of stream.batches) {
    if (result.isErr()) return { batches, end: result.error.kind };
    batches.push(result.value);
  }
  return { batches, end: 'finished' };
};

/** Runs a client against a server with the given answer, and closes both. */
const withServer = async <T>(
  answer: (response: ServerResponse) => void,
  run: (
    client: ReturnType<typeof createHttpEngineClient>,
    server: ReturnType<typeof buildSampleConfiguration>['backendServers'][number],
  ) => Promise<T>,
): Promise<T> => {
  const http = createServer((request, response) => {
    request.resume().on('end', () => answer(response));
  });
  await new Promise<void>((resolve) => {
    http.listen(0, '127.0.0.1', resolve);
  });
  const { port } = http.address() as AddressInfo;
  const client = createHttpEngineClient({ clock: createFakeClock() });
  const [sample] = buildSampleConfiguration().backendServers;
  try {
    return await run(client, { ...sample!, url: `http://127.0.0.1:${port}` });
  } finally {
    await client.close();
    http.closeAllConnections();
    await new Promise((resolve) => {
      http.close(resolve);
    });
  }
};

const readStart = (write: (response: ServerResponse) => void) =>
  withServer(
    (response) => {
      response.writeHead(200, { 'content-type': 'text/event-stream' });
      write(response);
    },
    async (client, server) => readAll((await client.startAttempt(server, START))._unsafeUnwrap()),
  );

test('a stream continues after its prefix, wherever its bytes are split', async (t) => {
  const bytes = Buffer.from(`${formatEvent('3', [1])}${formatEvent('5', [2, 3], 'stop')}`);
  const { batches, end } = await readStart((response) => {
    [...bytes].forEach((byte) => response.write(Buffer.from([byte])));
    response.end();
  });
  t.is(end, 'finished');
  t.deepEqual(
    batches.map(({ offset, tokenIds, text }) => ({ offset, tokenIds, text })),
    [
      { offset: 2, tokenIds: [1], text: 'é' },
      { offset: 3, tokenIds: [2, 3], text: 'é' },
    ],
  );
});

// Guards against truncated, missing and duplicate tokens in the answer. They come about if an event
// is forwarded before it is complete, or without a check of its offset, when the connection breaks
// inside an event or an engine skips or repeats an offset.
test('a truncated event is dropped, and a gap, an overlap and bad JSON end the stream', async (t) => {
  const cut = formatEvent('4', [2]);
  const endings = [cut.slice(0, -4), formatEvent('5', [2]), formatEvent('3', [2]), 'data: {\n\n'];
  for (const ending of endings) {
    const { batches, end } = await readStart((response) => {
      response.write(formatEvent('3', [1]) + ending, () => response.destroy());
    });
    t.is(end, 'broken', ending);
    t.is(batches.length, 1, ending);
  }
});

// Guards against work that is reported as not run although it ran, or that runs twice. Both come
// about if a failure after the request was sent is taken for one before: the engine refuses the
// request, is unreachable, or breaks the connection after the request.
test('only attempts that provably did not start are reported as not started', async (t) => {
  const statuses = { 429: 'not-started', 503: 'not-started', 400: 'rejected', 500: 'broken' };
  for (const [status, kind] of Object.entries(statuses)) {
    const answer = (response: ServerResponse) =>
      response.writeHead(Number(status), { 'retry-after': '2' }).end('{}');
    await withServer(answer, async (client, server) => {
      const started = await client.startAttempt(server, START);
      t.is(started._unsafeUnwrapErr().kind, kind as 'broken', status);
      const resumed = await client.resumeStream(server, 'gone', 0);
      t.true(resumed.isErr());
    });
  }
  await withServer(
    (response) => response.destroy(),
    async (client, server) => {
      const broken = await client.startAttempt(server, START);
      t.is(broken._unsafeUnwrapErr().kind, 'broken');
      const nowhere = { ...server, url: 'http://127.0.0.1:1' };
      const refused = await client.startAttempt(nowhere, START);
      t.is(refused._unsafeUnwrapErr().kind, 'not-started');
      t.true((await client.probe(nowhere)).isErr());
    },
  );
});

// Guards against work that runs twice: an established connection that had taken the request broke
// with an error that otherwise means that no connection was made, which counted as not started.
test('a request that an engine took is broken whatever its connection ends with', async (t) => {
  const breaker = createSocketBreaker();
  t.teardown(breaker.stop);
  for (const code of CONNECT_CODES) {
    for (const idempotent of [false, true]) {
      const start = { ...START, request: { ...START.request, idempotent } };
      await withServer(
        ({ socket }) => socket && breaker.breakOff(socket, code),
        async (client, server) => {
          const broken = await client.startAttempt(server, start);
          t.like(broken._unsafeUnwrapErr(), { kind: 'broken', reason: code });
        },
      );
    }
  }
});

test('a request to an engine without a usable address did not start', async (t) => {
  const client = createHttpEngineClient({ clock: createFakeClock() });
  t.teardown(() => client.close());
  const [sample] = buildSampleConfiguration().backendServers;
  for (const url of ['http://127.0.0.09:80', 'http://127.0.0.1:99999', 'nowhere']) {
    const refused = await client.startAttempt({ ...sample!, url }, START);
    t.is(refused._unsafeUnwrapErr().kind, 'not-started', url);
  }
});

// Guards against tokens of another generation: engines echo no id, so that a late answer on a
// connection with earlier requests would be read as that of the stream.
test('a stream gets a connection without earlier requests', async (t) => {
  const usedSockets = new Set<unknown>();
  const reused: string[] = [];
  await withServer(
    (response) => {
      const { req, socket } = response;
      const isStream = req.url !== '/health';
      if (isStream && usedSockets.has(socket)) reused.push(req.url ?? '');
      usedSockets.add(socket);
      response.end(isStream ? formatEvent('1', [9], 'stop') : 'ok');
    },
    async (client, server) => {
      const start = {
        ...START,
        prefixTokenIds: [],
        request: { ...START.request, idempotent: true },
      };
      for (let round = 0; round < 10; round += 1) {
        for (const open of [
          () => client.resumeStream(server, 'gen_1.1.ab', 0),
          () => client.startAttempt(server, start),
        ]) {
          t.true((await client.probe(server)).isOk());
          await waitForLoop();
          t.is((await readAll((await open())._unsafeUnwrap())).end, 'finished');
        }
      }
    },
  );
  t.deepEqual(reused, []);
});
