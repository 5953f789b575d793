import test from 'ava';
import { ok } from 'neverthrow';
import { buildTestCursor } from '../_lib/buildTestCursor';
import { startTestCallerServer } from '../_lib/startTestCallerServer';

const BODY = { model: 'review', messages: [{ role: 'user', content: 'seal' }], stream: true };

/** Reads a stream until its text contains `wanted`. */
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

const pushToken = (
  server: Awaited<ReturnType<typeof startTestCallerServer>>,
  position: number,
): void =>
  server.generations.push({
    kind: 'tokens',
    batch: { offset: position, tokenIds: [position], text: `w${position} `, finishReason: null },
    cursor: buildTestCursor(position + 1),
  });

test('a shutdown refuses new work as not-run and lets a running stream finish', async (t) => {
  const server = await startTestCallerServer();
  t.is((await server.send('/readyz')).status, 200);
  pushToken(server, 0);
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

// Guards against a review that is cut off at the drain timeout: its stream ends with its process
// and gives the caller no cursor to resume from.
test('at the drain timeout a stream is handed over by cursor and not cancelled', async (t) => {
  const server = await startTestCallerServer();
  pushToken(server, 0);
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

test('at the drain timeout an unstreamed answer contains its tokens and a cursor to resume from', async (t) => {
  const server = await startTestCallerServer();
  pushToken(server, 0);
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

test('a drain waits for a plain call past the timeout, since it has no cursor', async (t) => {
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

// Guards against an answer whose end is missing after a restart: work counted as finished once it
// was written to the socket of a slow caller, not once it was sent.
test('a drain waits until the whole answer is sent to a slow caller', async (t) => {
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

test('a caller that does not read cannot delay a drain past its timeout', async (t) => {
  const server = await startTestCallerServer();
  server.generations.pushText(['x'.repeat(32_000_000)]);
  await server.post('/v1/chat/completions', BODY);
  const drained = server.shutdown.drain(1000);
  server.clock.advance(1000);
  server.clock.advance(2000);
  t.is((await drained).handedOver, 1);
  await server.stop();
});

// Guards against two generations of one dossier: an entry in shutdown refuses a resume with
// `not-run`, which describes the resume request and not the generation, and the caller sends the
// dossier as a new request.
test('an entry that shuts down refuses a resume with run state unknown', async (t) => {
  const server = await startTestCallerServer();
  server.shutdown.drain(1000);
  const answer = await server.send('/v1/generations/gen_1/events', {
    headers: { 'Last-Event-ID': 'any' },
  });
  t.deepEqual([answer.status, answer.headers.get('jackdaw-run-state')], [503, 'unknown']);
  await server.stop();
});
