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

/** Far more events than the socket buffers hold, far fewer than the feed has. */
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

/** Creates a feed whose next event is always ready, and counts the events that were read. */
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

/** Waits until the value has not changed for 200 turns of the event loop. */
const waitUntilStable = async (read: () => number): Promise<void> => {
  for (
    let unchanged = 0, last = -1;
    unchanged < 200;
    unchanged = read() === last ? unchanged + 1 : 0
  ) {
    last = read();
    await waitForTurn();
  }
};

// Guards against an entry whose memory grows until it is killed: a caller stops reading, and the
// events of its stream are written without regard to backpressure.
test('a caller that does not read stalls only its own feed, and detaches when it disconnects', async (t) => {
  const { counts, feed } = createEndlessFeed();
  const generations = { ...createScriptedGenerations(), startGeneration: async () => ok(feed) };
  const server = await startTestCallerServer({ generations });
  const socket = connect(Number(new URL(server.url).port), '127.0.0.1');
  socket.pause();
  socket.write(REQUEST);
  while (counts.pulled === 0) await waitForTurn();
  await waitUntilStable(() => counts.pulled);
  t.true(counts.pulled < MAX_PULLED, String(counts.pulled));
  t.is(counts.detached, 0);
  socket.destroy();
  while (counts.detached === 0) await waitForTurn();
  t.is(server.shutdown.countRunning(), 0);
  await server.stop();
});
