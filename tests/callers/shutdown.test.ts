import test from 'ava';
import { ok } from 'neverthrow';
import { buildTestCursor } from '../_lib/buildTestCursor';
import { startTestCallerServer } from '../_lib/startTestCallerServer';

const BODY = { model: 'review', messages: [{ role: 'user', content: 'seal' }], stream: true };

/** Reads a stream until it holds the text. */
const readUntil = async (
  reader: ReadableStreamDefaultReader<Uint8Array>,
  wanted: string,
): Promise<string> => {
  let text = '';
  while (!text.includes(wanted)) {
    const { done, value } = await reader.read();
    if (done) return text;
    text += Buffer.from(value).toString();
  }
  return text;
};

const pushOne = (server: Awaited<ReturnType<typeof startTestCallerServer>>, at: number): void =>
  server.generations.push({
    kind: 'tokens',
    batch: { offset: at, tokenIds: [at], text: `w${at} `, finishReason: null },
    cursor: buildTestCursor(at + 1),
  });

test('a shutdown refuses new work as not run and lets a stream go to its end', async (t) => {
  const server = await startTestCallerServer();
  t.is((await server.send('/readyz')).status, 200);
  pushOne(server, 0);
  const answer = await server.post('/v1/chat/completions', BODY);
  const reader = answer.body!.getReader();
  await readUntil(reader, 'w0');
  const drained = server.shutdown.drain(1000);

  t.is((await server.send('/readyz')).status, 503);
  t.is((await server.send('/healthz')).status, 200);
  const refused = await server.post('/v1/chat/completions', BODY);
  t.is(refused.status, 503);
  t.is(refused.headers.get('jackdaw-run-state'), 'not-run');
  t.is(refused.headers.get('retry-after'), '1');
  t.is(refused.headers.get('connection'), 'close');
  t.is(server.generations.requests.length, 1);

  server.generations.pushText(['last']);
  server.generations.end();
  t.regex(await readUntil(reader, 'DONE'), /"content":"last"/);
  t.deepEqual(await drained, { finished: 1, handedOver: 0 });
  await server.stop();
});

// Symptom: a review that is still running at the bound of a drain is cut off.
// Sequence: SIGTERM, the bound passes, the process ends in mid-generation.
// Cause: a stream that ends with its process tells the caller nothing to go on with.
test('past the bound a stream is handed over by cursor, and is not cancelled', async (t) => {
  const server = await startTestCallerServer();
  pushOne(server, 0);
  const answer = await server.post('/v1/chat/completions', BODY);
  const reader = answer.body!.getReader();
  const before = await readUntil(reader, 'w0');
  const drained = server.shutdown.drain(1000);
  server.clock.advance(1000);
  const rest = await readUntil(reader, 'never');
  t.regex(before, /^id: \S+\n/);
  t.regex(rest, /event: error\ndata: .*"code":"handed_over","run_state":"ran"/);
  t.notRegex(rest, /DONE/);
  t.deepEqual(await drained, { finished: 0, handedOver: 1 });
  t.deepEqual(server.generations.detached, ['gen_1']);
  await server.stop();
});

test('past the bound an unstreamed answer gives the tokens and a cursor to go on with', async (t) => {
  const server = await startTestCallerServer();
  pushOne(server, 0);
  const pending = server.post('/v1/chat/completions', { ...BODY, stream: false });
  await server.generations.waiting;
  server.shutdown.drain(1000);
  server.clock.advance(1000);
  const answer = await pending;
  const body = (await answer.json()) as {
    error: { code: string };
    jackdaw: { cursor: string; token_ids: number[] };
  };
  t.is(answer.status, 503);
  t.is(body.error.code, 'handed_over');
  t.deepEqual(body.jackdaw.token_ids, [0]);
  t.truthy(body.jackdaw.cursor);
  await server.stop();
});

test('a plain call is waited for past the bound, since it has no cursor', async (t) => {
  let finish: () => void = () => undefined;
  const released = new Promise<void>((resolve) => {
    finish = resolve;
  });
  let noteCall: () => void = () => undefined;
  const called = new Promise<void>((resolve) => {
    noteCall = resolve;
  });
  async function* emptyBody() {
    yield Buffer.from('done');
  }
  const server = await startTestCallerServer({
    services: {
      callService: async () => {
        noteCall();
        await released;
        return ok({ response: { status: 200, headers: {}, body: emptyBody() }, runState: 'ran' });
      },
    },
  });
  const pending = server.post('/services/billing/bill', { amount: 1 });
  await called;
  const drained = server.shutdown.drain(1000);
  server.clock.advance(60_000);
  finish();
  const answer = await pending;
  t.deepEqual([answer.status, await answer.text()], [200, 'done']);
  t.deepEqual(await drained, { finished: 1, handedOver: 0 });
  await server.stop();
});

// Symptom: the last words of an answer are missing after a restart of the entry.
// Sequence: the answer is complete and still on its way to a slow caller; the drain ends; the
// process closes its connections.
// Cause: work was counted as ended when the answer was handed to the socket, not when it was sent.
test('a drain waits until a slow caller has been sent the whole answer', async (t) => {
  const server = await startTestCallerServer();
  const length = 32_000_000;
  server.generations.pushText(['x'.repeat(length)]);
  server.generations.end();
  for (const stream of [true, false]) {
    const answer = await server.post('/v1/chat/completions', { ...BODY, stream });
    t.is(server.shutdown.countRunning(), 1);
    t.true((await answer.text()).length > length);
  }
  t.is((await server.shutdown.drain(1000)).handedOver, 0);
  await server.stop();
});

test('a caller that reads nothing does not hold a drain past the bound', async (t) => {
  const server = await startTestCallerServer();
  server.generations.pushText(['x'.repeat(32_000_000)]);
  await server.post('/v1/chat/completions', BODY);
  const drained = server.shutdown.drain(1000);
  server.clock.advance(1000);
  server.clock.advance(2000);
  t.is((await drained).handedOver, 1);
  await server.stop();
});

// Symptom: two generations of one dossier.
// Sequence: a stream breaks; its caller comes back with the cursor to an entry that shuts down, is
// told `not-run`, and sends the dossier anew.
// Cause: the refusal spoke of the request to go on, not of the generation.
test('a caller that comes back to a leaving entry is not told that nothing ran', async (t) => {
  const server = await startTestCallerServer();
  server.shutdown.drain(1000);
  const answer = await server.send('/v1/generations/gen_1/events', {
    headers: { 'Last-Event-ID': 'any' },
  });
  t.deepEqual([answer.status, answer.headers.get('jackdaw-run-state')], [503, 'unknown']);
  await server.stop();
});
