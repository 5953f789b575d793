import test from 'ava';
import { createFakeClock } from '../../standins/fakes';
import { SurvivalMode } from '../../src/domain/types';
import { createScriptedEngines } from '../support/createScriptedEngines';
import { buildRequest, createTestEntry } from '../support/createTestEntry';
import { startFeedReader } from '../support/startFeedReader';

const setUp = (survival: SurvivalMode = SurvivalMode.Thrift) => {
  const clock = createFakeClock();
  const engines = createScriptedEngines();
  const entry = createTestEntry({
    vm: 'entry-1',
    clock,
    engines,
    serverNames: ['engine-1', 'engine-2', 'engine-3'],
    configuration: { survival },
  });
  const { signal } = new AbortController();
  const start = async () => {
    const opening = entry.generations.startGeneration(buildRequest(), signal);
    await engines.waitForStarts(1);
    const first = engines.starts[0]!;
    engines.emit(first, 3);
    const reader = startFeedReader((await opening)._unsafeUnwrap());
    await reader.waitForTokens(3);
    return { first, reader };
  };
  return { clock, engines, entry, signal, start };
};

// Symptom: the caller's stream ends in the middle of an answer.
// Sequence: the engine is killed after 3 tokens; its port refuses connections.
// Cause: an entry that has no other copy of the tokens than the engine.
test('a killed engine is replaced from the tokens held', async (t) => {
  const { engines, entry, start } = setUp();
  const { reader } = await start();
  engines.kill('engine-1');
  await engines.waitForStarts(2);
  const second = engines.starts[1]!;
  t.is(second.server, 'engine-2');
  t.is(second.prefixLength, 3);
  engines.emit(second, 2, 'stop');
  t.deepEqual(await reader.done, second.tokenIds);
  t.is(entry.health.readHealth('engine-1'), 'dead');
  t.deepEqual(
    entry.demands.map(({ purpose }) => purpose),
    ['start', 'resume'],
  );
});

// Symptom: tokens are generated twice, and paid for twice.
// Sequence: only the connection breaks; the engine goes on with the stream.
// Cause: an entry that takes each broken connection for a dead engine.
test('a cut connection is resumed on the same stream', async (t) => {
  const { engines, start } = setUp();
  const { first, reader } = await start();
  engines.breakConnections('engine-1');
  engines.emit(first, 2);
  await reader.waitForTokens(5);
  engines.breakConnections('engine-1');
  await reader.waitForTokens(5);
  engines.emit(first, 1, 'stop');
  t.deepEqual(await reader.done, first.tokenIds);
  t.is(engines.starts.length, 1);
});

// Symptom: the caller waits without end, or later gets text of two runs mixed.
// Sequence: the engine freezes; another goes on; the first wakes and sends its late tokens.
// Cause: silence that is not noticed; late tokens whose offsets fit.
for (const mode of Object.values(SurvivalMode)) {
  test(`a frozen engine is replaced and its late tokens are dropped: ${mode}`, async (t) => {
    const { clock, engines, start, entry } = setUp(mode);
    const { first, reader } = await start();
    for (let index = 4; index < 10; index += 1) {
      await clock.advanceAsync(10);
      engines.emit(first, 1);
      await reader.waitForTokens(index);
    }
    engines.freeze('engine-1');
    engines.emit(first, 4);
    await clock.advanceAsync(275);
    t.is(engines.starts.length, mode === SurvivalMode.Latency ? 2 : 1);
    t.is(entry.health.readHealth('engine-1'), 'suspected');
    await clock.advanceAsync(200);
    t.is(engines.starts.length, 2);
    const second = engines.starts[1]!;
    engines.emit(second, 1);
    await reader.waitForTokens(10);
    engines.thaw('engine-1');
    await clock.advanceAsync(0);
    engines.emit(second, 5, 'stop');
    t.deepEqual(await reader.done, second.tokenIds);
    t.true(engines.cancelled.includes(first.streamId));
  });
}

// Symptom: a caller waits five seconds for its next token, others half a second.
// Sequence: a stream freezes after its first token, when others of the service have run steadily.
// Cause: a limit that follows from the stream's own gaps only, of which it has none yet.
test('a stream that freezes at its first token is given up at the pace of the service', async (t) => {
  const { clock, engines, entry, signal, start } = setUp();
  const { first, reader } = await start();
  for (let index = 4; index < 40; index += 1) {
    await clock.advanceAsync(10);
    engines.emit(first, 1);
    await reader.waitForTokens(index);
  }
  engines.emit(first, 1, 'stop');
  await reader.done;
  const opening = entry.generations.startGeneration(buildRequest({ requestId: 'req_2' }), signal);
  await engines.waitForStarts(2);
  engines.emit(engines.starts[1]!, 1);
  const second = startFeedReader((await opening)._unsafeUnwrap());
  await second.waitForTokens(1);
  engines.freeze('engine-1');
  await clock.advanceAsync(1000);
  const replacement = engines.starts.find(({ prefixLength }) => prefixLength === 1);
  t.truthy(replacement);
});

// Symptom: a burst of requests takes every engine out of service, and lookups are refused.
// Sequence: an engine delivers to one stream, while another waits there for its prefill.
// Cause: a limit for the first token that knows nothing of the queue in an engine.
test('a prefill that waits on an engine at work is no evidence against it', async (t) => {
  const { clock, engines, entry, signal, start } = setUp(SurvivalMode.Latency);
  const { first, reader } = await start();
  const opening = entry.generations.startGeneration(buildRequest({ requestId: 'req_2' }), signal);
  await engines.waitForStarts(2);
  for (let index = 0; index < 70; index += 1) {
    engines.emit(first, 1);
    await clock.advanceAsync(10);
  }
  t.is(entry.health.readHealth('engine-1'), 'serving');
  t.is(engines.starts.length, 2);
  engines.emit(engines.starts[1]!, 1, 'stop');
  t.true((await opening).isOk());
  t.is(reader.tokenIds.length, 73);
});
