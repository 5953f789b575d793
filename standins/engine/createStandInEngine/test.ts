import test from 'ava';
import { request as send, type Dispatcher } from 'undici';
import { checkChain, renderPrompt } from '../../chain';
import { createStandInEngine, type StandInEngineOptions } from '.';

const BODY = {
  model: 'review',
  stream: true,
  max_tokens: 12,
  messages: [{ role: 'user', content: 'please review this document' }],
};

const PROMPT = `review\n${renderPrompt(BODY)}`;

/** A request on its own connection: a kept one may be one that a kill has just closed. */
const request = (url: string, options: { method?: Dispatcher.HttpMethod; body?: string } = {}) =>
  send(url, { ...options, reset: true, headers: { 'content-type': 'application/json' } });

interface Received {
  readonly status: number;
  readonly texts: readonly string[];
  readonly ids: readonly number[];
  readonly whole: boolean;
}

async function readAnswer(url: string, body?: object): Promise<Received> {
  const answer = await request(url, body ? { method: 'POST', body: JSON.stringify(body) } : {});
  let text = '';
  try {
    for await (const chunk of answer.body) text += String(chunk);
  } catch {
    // A broken connection: what came before it counts.
  }
  const events = [...text.matchAll(/^data: (\{.*\})$/gm)].map(
    (match) =>
      JSON.parse(match[1] ?? '') as {
        choices: { delta: { content: string }; token_ids: number[] }[];
      },
  );
  const choices = events.flatMap((event) => event.choices);
  return {
    status: answer.statusCode,
    texts: choices.map((choice) => choice.delta?.content ?? ''),
    ids: choices.flatMap((choice) => choice.token_ids),
    whole: text.endsWith('data: [DONE]\n\n'),
  };
}

async function startEngine(
  t: { teardown(fn: () => Promise<void>): void },
  options: StandInEngineOptions = {},
) {
  const engine = await createStandInEngine({ firstTokenMs: 1, gapMs: 1, ...options });
  t.teardown(engine.stop);
  const start = (streamId: string, more: object = {}) =>
    readAnswer(`${engine.url}/v1/chat/completions`, { ...BODY, stream_id: streamId, ...more });
  return { engine, start };
}

test('a prefix is continued by another engine, and both parts make one generation', async (t) => {
  const first = await startEngine(t);
  const second = await startEngine(t);
  first.engine.addPlannedFault({ fault: 'kill', at: 5, streamId: '' });
  const broken = await first.start('a.1');
  t.is(broken.texts.length, 5);
  t.false(broken.whole);
  const rest = await second.start('a.2', { prefix_token_ids: broken.ids });
  t.true(rest.whole);
  const texts = [...broken.texts, ...rest.texts];
  t.true(checkChain(PROMPT, texts, { expectedTokens: 12 }).ok);
  t.like(first.engine.listAttempts()[0], { state: 'lost', generatedTokens: 5 });
  await t.throwsAsync(request(`${first.engine.url}/health`));
  await first.engine.restart();
  t.is((await request(`${first.engine.url}/health`)).statusCode, 200);
});

test('a cut stream goes on and is read again from any offset', async (t) => {
  const { engine, start } = await startEngine(t);
  engine.addPlannedFault({ fault: 'cut-mid-event', at: 4, streamId: 'b' });
  const broken = await start('b.1');
  t.is(broken.texts.length, 3);
  await engine.waitForTokens(4);
  const rest = await readAnswer(`${engine.url}/v1/streams/b.1?offset=3`);
  t.true(checkChain(PROMPT, [...broken.texts, ...rest.texts], { expectedTokens: 12 }).ok);
  t.is((await readAnswer(`${engine.url}/v1/streams/b.1?offset=13`)).status, 416);
  t.is((await readAnswer(`${engine.url}/v1/streams/unknown?offset=0`)).status, 404);
});

test('a frozen engine answers nothing, and goes on where it stood', async (t) => {
  const { engine, start } = await startEngine(t);
  engine.addPlannedFault({ fault: 'freeze', at: 3, streamId: '' });
  const running = start('c.1');
  await engine.waitForTokens(3);
  const health = request(`${engine.url}/health`);
  const log = await request(`${engine.url}/control/log`);
  t.like(await log.body.json(), { attempts: [{ generatedTokens: 3, state: 'decoding' }] });
  // A second freeze while requests are held: they end with the one thaw all the same.
  engine.applyFault('freeze');
  await request(`${engine.url}/control/fault/unfreeze`, { method: 'POST' });
  t.is((await health).statusCode, 200);
  t.true(checkChain(PROMPT, (await running).texts, { expectedTokens: 12 }).ok);
});

test('requests are refused before they start: bad, full, in use, leaving, model not loaded', async (t) => {
  const { engine, start } = await startEngine(t, { slots: 1, queueLimit: 1 });
  engine.addPlannedFault({ fault: 'freeze-streams', at: 'prefill', streamId: '' });
  const held = start('d.1');
  await engine.waitForTokens(0, 'd.1');
  const queued = start('d.2', { priority: 1 });
  await engine.waitForTokens(0, 'd.2');
  t.is((await start('d.3')).status, 429);
  t.is((await start('d.1')).status, 409);
  t.is((await start('d.4', { stream: false })).status, 400);
  t.is((await start('d.5', { model: 'other' })).status, 503);
  engine.applyFault('leave');
  t.is((await start('d.6')).status, 503);
  const cancelled = await request(`${engine.url}/v1/streams/d.1`, { method: 'DELETE' });
  t.is(cancelled.statusCode, 204);
  t.false((await held).whole);
  engine.applyFault('unfreeze');
  t.true((await queued).whole);
  t.like(engine.listAttempts()[0], { state: 'cancelled', generatedTokens: 0 });
});

test('orders: an old fencing token is refused, and a model is loaded and unloaded', async (t) => {
  const { engine, start } = await startEngine(t);
  const sendOrder = async (token: number, model: string) => {
    const order = {
      fencing_token: token,
      models: [{ model, version: '1', adapter: '' }],
      role: 'serve',
    };
    const answer = await request(`${engine.url}/orders`, {
      method: 'POST',
      body: JSON.stringify(order),
    });
    await answer.body.dump();
    return answer.statusCode;
  };
  t.is(await sendOrder(5, 'summary'), 202);
  t.is(await sendOrder(4, 'review'), 409);
  t.is((await start('e.1')).status, 503);
  t.true((await start('e.2', { model: 'summary' })).whole);
  const load = await (await request(`${engine.url}/load`)).body.json();
  t.like(load, { running: 0, fencing_token: 5, models: [{ model: 'summary' }] });
});

test('a prompt is cached, published, and found gone with the process', async (t) => {
  const { engine, start } = await startEngine(t, { cacheEntries: 1 });
  await start('f.1', { messages: [{ role: 'user', content: 'y'.repeat(300) }] });
  await start('f.2', { messages: [{ role: 'user', content: 'x'.repeat(300) }] });
  const readKinds = async () => {
    const answer = await request(`${engine.url}/cache-events?after=0`);
    const { events } = (await answer.body.json()) as { events: { kind: string }[] };
    return events.map(({ kind }) => kind);
  };
  t.deepEqual(await readKinds(), ['stored', 'stored', 'removed']);
  engine.applyFault('kill');
  await engine.restart();
  t.deepEqual(await readKinds(), ['cleared']);
});
