import test from 'ava';
import OpenAI from 'openai';
import type { ChatCompletionCreateParams } from 'openai/resources/chat/completions';
import { checkChain, renderPrompt } from '../../standins/chain';
import { startEmbeddedSystem, type EmbeddedSystem } from '../../tools/embedded';
import { buildTestConfiguration, TEST_KEYS } from '../_lib/buildTestConfiguration';

const TOKENS = 60;
const BREAK_AT = 20;

const buildBody = (dossier: string) =>
  ({
    model: 'review',
    max_tokens: TOKENS,
    messages: [{ role: 'user', content: `Review dossier ${dossier}.` }],
  }) satisfies ChatCompletionCreateParams;

const startSystem = (): Promise<EmbeddedSystem> => {
  const { backendServers: configuredServers, ...configuration } = buildTestConfiguration();
  const engine = (name: string) => ({
    name,
    url: 'http://127.0.0.1:1',
    region: 'r1',
    availabilityZone: 'z1',
    services: ['review'],
    slots: 8,
    checksFencing: true,
  });
  return startEmbeddedSystem({
    configuration: {
      ...configuration,
      backendServers: [
        ...configuredServers,
        engine('engine-1'),
        engine('engine-2'),
        engine('engine-3'),
      ],
    },
    entryZones: ['z1', 'z1', 'z1'],
    engineSettings: { firstTokenMs: 20, gapMs: 5 },
  });
};

const createClient = (system: EmbeddedSystem, entry: number): OpenAI =>
  new OpenAI({ baseURL: `${system.entries[entry]?.url}/v1`, apiKey: TEST_KEYS.counter });

/** Streams a review; calls `onBreak` once, after `BREAK_AT` tokens. */
const streamReview = async (
  client: OpenAI,
  dossier: string,
  options: { readonly headers?: Record<string, string>; readonly onBreak?: () => unknown } = {},
): Promise<readonly string[]> => {
  const texts: string[] = [];
  const stream = await client.chat.completions.create(
    { ...buildBody(dossier), stream: true },
    { headers: options.headers },
  );
  for await (const chunk of stream) {
    const text = chunk.choices[0]?.delta.content ?? '';
    if (text !== '') texts.push(text);
    if (texts.length === BREAK_AT && text !== '') await options.onBreak?.();
  }
  return texts;
};

const checkReview = (dossier: string, texts: readonly string[]) => {
  const body = buildBody(dossier);
  return checkChain(`${body.model}\n${renderPrompt(body)}`, texts, { expectedTokens: TOKENS });
};

const WHOLE = { tokens: TOKENS, missing: 0, repeated: 0, mixed: 0, ok: true };

const killBusyEngine = ({ backends }: EmbeddedSystem): void => {
  const busy = [...backends.engines.values()].find((engine) =>
    engine.listAttempts().some(({ state }) => state === 'decoding'),
  );
  busy?.applyFault('kill');
};

test('unmodified OpenAI clients get complete answers, streamed and unstreamed, through two entries', async (t) => {
  const system = await startSystem();
  t.teardown(system.stop);
  const [first, second, whole] = await Promise.all([
    streamReview(createClient(system, 0), 'a'),
    streamReview(createClient(system, 1), 'b'),
    createClient(system, 1).chat.completions.create(buildBody('c')),
  ]);
  t.deepEqual(checkReview('a', first), WHOLE);
  t.deepEqual(checkReview('b', second), WHOLE);
  t.deepEqual(checkReview('c', [whole.choices[0]?.message.content ?? '']), WHOLE);
  t.is(whole.choices[0]?.finish_reason, 'length');
  t.is(whole.usage?.completion_tokens, TOKENS);
});

// Guards against a stream of an OpenAI client that stops or repeats tokens when an engine is
// killed: the entry does not resume after exactly the tokens that it has sent.
test('the failure of an engine is invisible to an unmodified OpenAI client', async (t) => {
  const system = await startSystem();
  t.teardown(system.stop);
  const onBreak = () => killBusyEngine(system);
  const [first, second, whole] = await Promise.all([
    streamReview(createClient(system, 0), 'a', { onBreak }),
    streamReview(createClient(system, 1), 'b'),
    createClient(system, 1).chat.completions.create(buildBody('c')),
  ]);
  const attempts = [...system.backends.engines.values()].flatMap((one) => one.listAttempts());
  t.true(attempts.some(({ prefixTokens }) => prefixTokens > 0));
  t.deepEqual(checkReview('a', first), WHOLE);
  t.deepEqual(checkReview('b', second), WHOLE);
  t.deepEqual(checkReview('c', [whole.choices[0]?.message.content ?? '']), WHOLE);
});

// Guards against two findings for one dossier, or none, at a client that only repeats its POST: the
// claim of the key is lost with the entry, or the repeat gets tokens of another generation.
test('a client that only repeats its POST gets one complete generation', async (t) => {
  const system = await startSystem();
  t.teardown(system.stop);
  const headers = { 'Idempotency-Key': 'dossier-7' };
  const broken = streamReview(createClient(system, 0), 'a', {
    headers,
    onBreak: () => system.entries[0]?.stop(),
  });
  await t.throwsAsync(broken);
  const repeated = await streamReview(createClient(system, 1), 'a', { headers });
  t.deepEqual(checkReview('a', repeated), WHOLE);
  const stored = await streamReview(createClient(system, 2), 'a', { headers });
  t.is(stored.join(''), repeated.join(''));
});
