import test from 'ava';
import { GenerationLostError, streamGeneration, type GenerationBatch } from '..';

interface Answer {
  readonly status?: number;
  readonly headers?: Record<string, string>;
  readonly body: string;
  /** Breaks the connection after the body. */
  readonly cut?: boolean;
}

interface Sent {
  readonly url: string;
  readonly headers: Record<string, string>;
  readonly body: Record<string, unknown>;
}

const buildEvent = (offset: number, token: number, finish: string | null = null): string =>
  `id: cursor-${offset}\ndata: ${JSON.stringify({
    id: 'gen_1',
    choices: [{ delta: { content: `t${token} ` }, token_ids: [token], finish_reason: finish }],
  })}\n\n`;

const buildBody = ({ body, cut }: Answer): ReadableStream<Uint8Array> => {
  const bytes = new TextEncoder().encode(body);
  const middle = Math.floor(bytes.length / 2);
  const parts = [bytes.slice(0, middle), bytes.slice(middle)];
  return new ReadableStream<Uint8Array>({
    pull(controller) {
      const part = parts.shift();
      if (part !== undefined) controller.enqueue(part);
      else if (cut) controller.error(new Error('reset'));
      else controller.close();
    },
  });
};

const runClient = async (answers: readonly (Answer | 'refused')[], maxFruitlessRequests = 10) => {
  const sent: Sent[] = [];
  const waits: number[] = [];
  const batches: GenerationBatch[] = [];
  const stream = streamGeneration({
    baseUrls: ['http://entry-1', 'http://entry-2'],
    apiKey: 'key',
    body: { model: 'review', messages: [] },
    idempotencyKey: 'k1',
    maxFruitlessRequests,
    wait: async (delayMs) => {
      waits.push(delayMs);
    },
    fetch: async (url, init) => {
      const answer = answers[sent.length] ?? 'refused';
      const { headers, body } = init as { headers: Record<string, string>; body: string };
      sent.push({ url: String(url), headers, body: JSON.parse(body) });
      if (answer === 'refused') throw new TypeError('fetch failed');
      return new Response(buildBody(answer), { status: answer.status, headers: answer.headers });
    },
  });
  let error: unknown = null;
  try {
    for await (const batch of stream) batches.push(batch);
  } catch (caught) {
    error = caught;
  }
  return { sent, waits, error, tokens: batches.flatMap((batch) => batch.tokenIds) };
};

// Guards against tokens that come twice or are missing after an entry failed within an event: the
// client repeats the request, or counts an incomplete event.
test('resumes at the next entry with cursor and prefix, each token once', async (t) => {
  const run = await runClient([
    { body: buildEvent(1, 11) + buildEvent(2, 12) + buildEvent(3, 13).slice(0, -9), cut: true },
    { body: buildEvent(3, 13) + buildEvent(4, 14, 'stop') },
  ]);
  t.deepEqual(run.tokens, [11, 12, 13, 14]);
  t.is(run.error, null);
  const [first, second] = run.sent;
  t.is(first?.url, 'http://entry-1/v1/chat/completions');
  t.is(first?.headers['Idempotency-Key'], 'k1');
  t.is(second?.url, 'http://entry-2/v1/generations/gen_1/events');
  t.is(second?.headers['Last-Event-ID'], 'cursor-2');
  t.deepEqual(second?.body.prefix_token_ids, [11, 12]);
  t.deepEqual(second?.body.request, { model: 'review', messages: [], stream: true });
});

// Guards against a second generation under another key: before the first token there is no cursor,
// and only the key identifies work that is retried at another entry.
test('retries under the same idempotency key and not before Retry-After', async (t) => {
  const run = await runClient([
    'refused',
    { status: 429, headers: { 'retry-after': '3' }, body: '{"error":{"code":"queue_full"}}' },
    { body: buildEvent(1, 11, 'stop') },
  ]);
  t.deepEqual(run.tokens, [11]);
  t.deepEqual(new Set(run.sent.map((request) => request.headers['Idempotency-Key'])).size, 1);
  t.is(run.waits[0], 0);
  t.true((run.waits[1] ?? 0) >= 3000);
});

test('throws a typed error if a retry cannot succeed', async (t) => {
  const headers = { 'jackdaw-run-state': 'ran', 'jackdaw-request-id': 'req_1' };
  const run = await runClient([
    { body: buildEvent(1, 11), cut: true },
    { status: 409, headers, body: '{"error":{"code":"prefix_mismatch","message":"no"}}' },
  ]);
  t.true(run.error instanceof GenerationLostError);
  const { code, runState, requestId, tokensReceived } = run.error as GenerationLostError;
  t.deepEqual([code, runState, requestId, tokensReceived], ['prefix_mismatch', 'ran', 'req_1', 1]);
  t.is(run.sent.length, 2);
});

test('an answer without a finish reason is never treated as complete', async (t) => {
  const run = await runClient([{ body: buildEvent(1, 11) }], 3);
  t.is((run.error as GenerationLostError).code, 'connection_failed');
  t.is(run.sent.length, 4);
});

test('malformed events end the connection, not the client', async (t) => {
  const run = await runClient([
    { body: `${buildEvent(1, 11)}data: {oops\n\n` },
    { body: ': still waiting\n\ndata: {"id":"gen_1","choices":[]}\n\n', cut: true },
    { body: `${buildEvent(2, 12, 'length')}data: [DONE]\n\n` },
  ]);
  t.deepEqual(run.tokens, [11, 12]);
});
