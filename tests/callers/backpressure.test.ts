import { connect } from 'node:net';
import { setImmediate as waitForTurn } from 'node:timers/promises';
import test from 'ava';
import { ok } from 'neverthrow';
import type { GenerationEvent, GenerationFeed } from '../../src/application/ports';
import { TEST_KEYS } from '../_lib/buildTestConfiguration';
import { createScriptedGenerations } from '../_lib/createScriptedGenerations';
import { buildTestCursor } from '../_lib/buildTestCursor';
import { startTestCallerServer } from '../_lib/startTestCallerServer';

const EVENTS = 4000;
const EVENT_CHARACTERS = 64_000;

/** Far more than sockets hold, far less than all events together. */
const MAX_PULLED = 1000;

const BODY = JSON.stringify({
  model: 'review',
  stream: true,
  messages: [{ role: 'user', content: 'seal' }],
});

const REQUEST = [
  'POST /v1/chat/completions HTTP/1.1',
  'Host: entry',
  `Authorization: Bearer ${TEST_KEYS.counter}`,
  `Content-Length: ${BODY.length}`,
  '',
  BODY,
].join('\r\n');

/** Creates a feed that always has a next event, and counts how many were taken. */
const createEndlessFeed = () => {
  const counts = { pulled: 0, detached: 0 };
  async function* follow(): AsyncGenerator<GenerationEvent> {
    for (; counts.pulled < EVENTS; counts.pulled += 1) {
      yield {
        kind: 'tokens',
        batch: {
          offset: counts.pulled,
          tokenIds: [1],
          text: 'x'.repeat(EVENT_CHARACTERS),
          finishReason: null,
        },
        cursor: buildTestCursor(counts.pulled + 1),
      };
    }
  }
  const feed: GenerationFeed = {
    generationId: 'gen_1',
    events: follow(),
    detach: () => {
      counts.detached += 1;
    },
  };
  return { counts, feed };
};

/** Waits until so many turns of the loop in a row changed nothing. */
const waitUntilStill = async (read: () => number): Promise<void> => {
  for (let still = 0, last = -1; still < 200; still = read() === last ? still + 1 : 0) {
    last = read();
    await waitForTurn();
  }
};

// Symptom: an entry's memory grows until it is killed, and every stream on it breaks.
// Sequence: a caller stops reading; the engine goes on; each event is queued for the caller.
// Cause: events were written without a look at whether the caller takes them.
test('a caller that does not read holds up its own feed only, and detaches when it goes', async (t) => {
  const { counts, feed } = createEndlessFeed();
  const generations = { ...createScriptedGenerations(), startGeneration: async () => ok(feed) };
  const server = await startTestCallerServer({ generations });
  const socket = connect(Number(new URL(server.url).port), '127.0.0.1');
  socket.pause();
  socket.write(REQUEST);
  while (counts.pulled === 0) await waitForTurn();
  await waitUntilStill(() => counts.pulled);
  t.true(counts.pulled < MAX_PULLED, String(counts.pulled));
  t.is(counts.detached, 0);
  socket.destroy();
  while (counts.detached === 0) await waitForTurn();
  t.is(server.shutdown.countRunning(), 0);
  await server.stop();
});
