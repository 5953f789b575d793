import test from 'ava';
import OpenAI from 'openai';
import { streamGeneration } from '../../client';
import { checkChain, renderPrompt } from '../../standins/chain';
import { buildTestConfiguration, TEST_KEYS } from '../_lib/buildTestConfiguration';
import { startTestSystem } from '../_lib/startTestSystem';

const MESSAGES = [{ role: 'user' as const, content: 'Check the seal.' }];
const PROMPT = `review\n${renderPrompt({ messages: MESSAGES })}`;

test('a chat passes entry and engine, streamed and unstreamed, with each token once', async (t) => {
  const lines: string[] = [];
  const system = await startTestSystem({
    onLogLine: (context, message) => lines.push(JSON.stringify({ context, message })),
  });
  const baseURL = `${system.entries[0]!.callerUrl}/v1`;
  const client = new OpenAI({ apiKey: TEST_KEYS.counter, baseURL });
  const request = { model: 'review', messages: MESSAGES, max_tokens: 20 };
  const stream = await client.chat.completions.create({ ...request, stream: true });
  const texts: string[] = [];
  for await (const chunk of stream) texts.push(chunk.choices[0]?.delta.content ?? '');
  t.true(checkChain(PROMPT, texts, { expectedTokens: 20 }).ok);
  const whole = await client.chat.completions.create(request);
  const text = whole.choices[0]?.message.content ?? '';
  t.true(checkChain(PROMPT, [text], { expectedTokens: 20 }).ok);
  t.is(whole.usage?.completion_tokens, 20);

  const routed = lines.filter((line) => line.includes('"kind":"route"'));
  t.is(routed.length, 2);
  t.regex(routed[0] ?? '', /"choice":"engine-1"/);
  t.false(lines.some((line) => line.includes('seal') || line.includes(TEST_KEYS.counter)));
  await system.stop();
});

test('a plain call reaches its service with its request id', async (t) => {
  const system = await startTestSystem();
  const answer = await fetch(`${system.entries[0]!.callerUrl}/services/billing/bill?x=1`, {
    method: 'POST',
    headers: { Authorization: `Bearer ${TEST_KEYS.counter}`, 'Jackdaw-Request-Id': 'abc' },
    body: '{"amount":1}',
  });
  t.deepEqual([answer.status, answer.headers.get('jackdaw-run-state')], [200, 'ran']);
  t.is(answer.headers.get('jackdaw-request-id'), 'abc');
  t.like(system.plain.listCalls()[0], { requestId: 'abc', method: 'POST', body: '{"amount":1}' });
  await system.stop();
});

// Guards against a review that breaks off, restarts or repeats words when its engine fails: the
// connection of the caller depended on the connection to one engine.
test('an unmodified OpenAI client gets a complete generation although its engine fails', async (t) => {
  const system = await startTestSystem({ engines: [{}, {}] });
  const running = Promise.race(
    system.engines.map((engine) => engine.waitForTokens(12).then(() => engine)),
  );
  const killed = running.then((engine) => engine.applyFault('kill'));
  const client = new OpenAI({
    apiKey: TEST_KEYS.counter,
    baseURL: `${system.entries[0]!.callerUrl}/v1`,
  });
  const stream = await client.chat.completions.create({
    model: 'review',
    messages: MESSAGES,
    max_tokens: 30,
    stream: true,
  });
  const texts: string[] = [];
  for await (const chunk of stream) texts.push(chunk.choices[0]?.delta.content ?? '');
  t.true(checkChain(PROMPT, texts, { expectedTokens: 30 }).ok);
  await killed;
  t.deepEqual(system.engines.map((engine) => engine.listAttempts().length).sort(), [1, 1]);
  await system.stop();
});

// Guards against a review that is cut off or starts again when its entry is replaced: the stream
// ended with the process and gave the caller no cursor for another entry.
test('a drained entry hands its stream over to another entry, with each token once', async (t) => {
  const { limits } = buildTestConfiguration();
  const system = await startTestSystem({
    entries: 2,
    configuration: { limits: { ...limits, drainMs: 0 } },
  });
  const [first, second] = system.entries;
  const drained = system.engines[0]!.waitForTokens(10).then(() => first!.drain());
  const texts: string[] = [];
  const batches = streamGeneration({
    baseUrls: [first!.callerUrl, second!.callerUrl],
    apiKey: TEST_KEYS.counter,
    body: { model: 'review', messages: MESSAGES, max_tokens: 200 },
  });
  for await (const batch of batches) texts.push(batch.text);
  t.true(checkChain(PROMPT, texts, { expectedTokens: 200 }).ok);
  t.is((await drained).handedOver, 1);
  t.is(system.engines[0]!.listAttempts().length, 1);
  await system.stop();
});

// Guards against work in a place that is not allowed: no server in the allowed places serves, and
// routing falls back to a free one elsewhere.
test('work without a server in its allowed places is refused and reaches no other engine', async (t) => {
  const system = await startTestSystem({
    configuration: { places: [{ name: 'here', region: 'r1', availabilityZones: ['z2'] }] },
  });
  const answer = await fetch(`${system.entries[0]!.callerUrl}/v1/chat/completions`, {
    method: 'POST',
    headers: { Authorization: `Bearer ${TEST_KEYS.counter}` },
    body: JSON.stringify({ model: 'review', messages: MESSAGES }),
  });
  const { error } = (await answer.json()) as { error: { code: string } };
  t.deepEqual([answer.status, error.code], [503, 'no_ready_server']);
  t.is(answer.headers.get('jackdaw-run-state'), 'not-run');
  t.is(system.engines[0]!.listAttempts().length, 0);
  await system.stop();
});

// Guards against a process that was asked to leave and never exits: it drains while it still
// starts, and only a drain that began after the wait for one was noticed.
test('waiting for a drain that has already started or ended resolves', async (t) => {
  const system = await startTestSystem();
  await system.entries[0]!.drain();
  t.deepEqual(await system.entries[0]!.waitForDrain(), { finished: 0, handedOver: 0 });
  await system.stop();
});
