import test from 'ava';
import OpenAI from 'openai';
import type { EventFields } from '../../src/application/ports';
import { signCursor, verifyCursor } from '../../src/domain/cursor';
import { TEST_KEYS } from '../_lib/buildTestConfiguration';
import { buildTestCursor } from '../_lib/buildTestCursor';
import { startTestCallerServer, TEST_CURSOR_KEYS } from '../_lib/startTestCallerServer';

const BODY = { model: 'review', messages: [{ role: 'user', content: 'seal' }] };
const CURSOR = buildTestCursor(1);

test('an unmodified OpenAI client gets streamed and unstreamed answers, usage and models', async (t) => {
  const server = await startTestCallerServer();
  server.generations.pushText(['A ', 'good ', 'seal.']);
  server.generations.end();
  const client = new OpenAI({ apiKey: TEST_KEYS.counter, baseURL: `${server.url}/v1` });
  const stream = await client.chat.completions.create({
    model: 'review',
    messages: [{ role: 'user', content: 'seal' }],
    stream: true,
    stream_options: { include_usage: true },
  });
  let text = '';
  let tokens = 0;
  for await (const chunk of stream) {
    text += chunk.choices[0]?.delta.content ?? '';
    tokens = chunk.usage?.completion_tokens ?? tokens;
  }
  t.is(text, 'A good seal.');
  t.is(tokens, 3);
  const whole = await client.completions.create({ model: 'review', prompt: 'seal' });
  t.is(whole.choices[0]?.text, 'A good seal.');
  t.is(whole.usage?.total_tokens, 4);
  const models = await client.models.list();
  t.deepEqual(
    models.data.map(({ id }) => id),
    ['review'],
  );
  await server.stop();
});

test('each event carries a signed cursor and its token ids; a cursor resumes', async (t) => {
  const server = await startTestCallerServer();
  server.generations.pushText(['A ', 'seal.']);
  server.generations.end();
  const answer = await server.post('/v1/chat/completions', { ...BODY, stream: true });
  t.is(answer.headers.get('jackdaw-run-state'), 'ran');
  t.is(answer.headers.get('jackdaw-request-id'), `req_${'0'.repeat(24)}`);
  const events = (await answer.text()).split('\n\n');
  t.is(events[2], 'data: [DONE]');
  const id = events[0]?.split('\n')[0]?.slice('id: '.length) ?? '';
  t.is(verifyCursor(id, TEST_CURSOR_KEYS)._unsafeUnwrap().offset, 1);
  t.deepEqual(JSON.parse(events[0]?.split('data: ')[1] ?? '').choices[0].token_ids, [100]);

  const resumed = await server.post(
    '/v1/generations/gen_1/events',
    { prefix_token_ids: [100], request: BODY },
    { 'Last-Event-ID': id },
  );
  const rest = await resumed.text();
  t.regex(rest, /"content":"seal\."/);
  t.notRegex(rest, /"content":"A "/);
  t.deepEqual(server.generations.resumes[0]?.prefixTokenIds, [100]);
  t.is(server.generations.resumes[0]?.request?.digest, server.generations.requests[0]?.digest);
  await server.stop();
});

const REFUSALS = [
  { title: 'missing bearer', headers: { Authorization: '' }, status: 401, code: 'invalid_api_key' },
  {
    title: 'wrong bearer',
    headers: { Authorization: 'Bearer nobody' },
    status: 401,
    code: 'invalid_api_key',
  },
  { title: 'malformed JSON', body: '{"model":', status: 400, code: 'malformed_json' },
  { title: 'wrong type', body: { ...BODY, max_tokens: 'x' }, status: 400, code: 'invalid_field' },
  { title: 'no messages', body: { model: 'review' }, status: 400, code: 'invalid_field' },
  { title: 'body that is not an object', body: '[1]', status: 400, code: 'invalid_field' },
  { title: 'oversized body', body: 'x'.repeat(10_001), status: 413, code: 'body_too_large' },
  { title: 'unknown model', body: { ...BODY, model: 'no' }, status: 404, code: 'model_not_found' },
  {
    title: 'model of another workspace',
    body: { ...BODY, model: 'hidden' },
    status: 403,
    code: 'service_not_allowed',
  },
  {
    title: 'plain service as model',
    body: { ...BODY, model: 'status' },
    status: 404,
    code: 'model_not_found',
  },
  {
    title: 'bad deadline',
    headers: { 'Jackdaw-Timeout-Ms': '-1' },
    status: 400,
    code: 'invalid_header',
  },
  { title: 'unknown path', path: '/v1/embeddings', status: 404, code: 'unknown_path' },
] as const;

test('each invalid request gets its error code and run state not-run, and starts no generation', async (t) => {
  const logged: string[] = [];
  const info = (_message: string, fields: EventFields): void => {
    logged.push(JSON.stringify(fields));
  };
  const server = await startTestCallerServer({ log: { info, warn: info, error: info } });
  for (const refusal of REFUSALS) {
    const { code, status, title } = refusal;
    const path = 'path' in refusal ? refusal.path : '/v1/chat/completions';
    const body = 'body' in refusal ? refusal.body : BODY;
    const answer = await server.post(path, body, 'headers' in refusal ? refusal.headers : {});
    const { error } = (await answer.json()) as { error: { code: string; run_state: string } };
    t.is(answer.status, status, title);
    t.is(error.code, code, title);
    t.is(answer.headers.get('jackdaw-run-state'), 'not-run', title);
    t.truthy(answer.headers.get('jackdaw-request-id'), title);
  }
  t.is(server.generations.requests.length, 0);
  await server.stop();
  REFUSALS.forEach(({ code }) => t.true(logged.some((line) => line.includes(`"code":"${code}"`))));
  t.false(logged.some((line) => line.includes('seal') || line.includes('nobody')));
});

test('a malformed, forged or foreign cursor is refused and resumes no generation', async (t) => {
  const server = await startTestCallerServer();
  const sign = (change: Partial<typeof CURSOR>): string =>
    signCursor({ ...CURSOR, ...change }, [...TEST_CURSOR_KEYS]);
  const forged = signCursor(CURSOR, ['another-key-of-at-least-32-chars']);
  const cases = [
    { cursor: '', status: 400, code: 'invalid_cursor' },
    { cursor: 'broken', status: 400, code: 'invalid_cursor' },
    { cursor: forged, status: 400, code: 'invalid_cursor' },
    { cursor: sign({ workspace: 'other' }), status: 403, code: 'foreign_cursor' },
    { cursor: sign({ generationId: 'gen_2' }), status: 403, code: 'foreign_cursor' },
    { cursor: sign({ service: 'hidden' }), status: 403, code: 'service_not_allowed' },
  ];
  for (const { code, cursor, status } of cases) {
    const headers = { 'Last-Event-ID': cursor };
    const answer = await server.send('/v1/generations/gen_1/events', { headers });
    const { error } = (await answer.json()) as { error: { code: string } };
    t.deepEqual([answer.status, error.code], [status, code], cursor);
  }
  t.is(server.generations.resumes.length, 0);
  await server.stop();
});

// Guards against repeated requests that cannot help: clients that don't know `x-should-retry` obey
// `Retry-After`.
test('an error that must not be retried has no retry time', async (t) => {
  const server = await startTestCallerServer();
  server.generations.failNextStart({
    code: 'answer_unavailable',
    message: 'not readable',
    status: 503,
    runState: 'ran',
    retryAfterMs: 0,
  });
  const refused = await server.post('/v1/chat/completions', BODY);
  t.is(refused.status, 503);
  t.is(refused.headers.get('x-should-retry'), 'false');
  t.is(refused.headers.get('retry-after'), null);
  t.is(refused.headers.get('retry-after-ms'), null);
  await server.stop();
});

test('a failure before the first token sets the HTTP status; a later one is an error event', async (t) => {
  const error = {
    code: 'queue_full',
    message: 'full',
    status: 429,
    runState: 'not-run',
    retryAfterMs: 1500,
  } as const;
  const server = await startTestCallerServer();
  server.generations.failNextStart(error);
  const refused = await server.post('/v1/chat/completions', { ...BODY, stream: true });
  t.is(refused.status, 429);
  t.is(refused.headers.get('retry-after'), '2');
  t.is(refused.headers.get('retry-after-ms'), '1500');
  await server.stop();

  const broken = await startTestCallerServer();
  broken.generations.push({
    kind: 'tokens',
    batch: { offset: 0, tokenIds: [1], text: 'A', finishReason: null },
    cursor: CURSOR,
  });
  broken.generations.push({
    kind: 'failed',
    error: { ...error, code: 'prefix_mismatch', runState: 'ran' },
  });
  const answer = await broken.post('/v1/chat/completions', { ...BODY, stream: true });
  const text = await answer.text();
  t.regex(text, /event: error\ndata: \{"error":\{.*"code":"prefix_mismatch","run_state":"ran"/);
  t.notRegex(text, /\[DONE\]/);
  await broken.stop();
});

// Guards against a truncated answer that looks complete: the feed ends without a finish reason, and
// its end is treated as the end of the generation.
test('a feed that ends without a finish reason is an error, streamed and unstreamed', async (t) => {
  const server = await startTestCallerServer();
  server.generations.push({
    kind: 'tokens',
    batch: { offset: 0, tokenIds: [1], text: 'A', finishReason: null },
    cursor: CURSOR,
  });
  server.generations.end();
  const streamed = await server.post('/v1/chat/completions', { ...BODY, stream: true });
  t.regex(await streamed.text(), /stream_incomplete/);
  const whole = await server.post('/v1/chat/completions', BODY);
  t.is(whole.status, 502);
  await server.stop();
});

test('an entry that is cut off or has no configuration is not ready and refuses work', async (t) => {
  const view = { readCurrent: () => null, addListener: () => () => undefined };
  const cases = [
    { change: { isCutOff: () => true }, code: 'cut_off' },
    { change: { configuration: view }, code: 'no_configuration' },
  ];
  for (const { change, code } of cases) {
    const server = await startTestCallerServer(change);
    t.is((await server.send('/readyz')).status, 503);
    const answer = await server.post('/v1/chat/completions', BODY);
    t.regex(await answer.text(), new RegExp(code));
    t.is(answer.headers.get('jackdaw-run-state'), 'not-run');
    t.truthy(answer.headers.get('retry-after'));
    await server.stop();
  }
});

test('a caller cancels its own running generation, and no other', async (t) => {
  const server = await startTestCallerServer();
  const cancel = async (id: string, key: string): Promise<number> => {
    const headers = { Authorization: `Bearer ${key}` };
    const answer = await server.send(`/v1/generations/${id}`, { method: 'DELETE', headers });
    return answer.status;
  };
  t.is(await cancel('gen_1', TEST_KEYS.counter), 204);
  t.is(await cancel('gen_1', TEST_KEYS.other), 404);
  t.is(await cancel('gen_2', TEST_KEYS.counter), 404);
  t.is(await cancel('gen_1', 'nobody'), 401);
  await server.stop();
});
