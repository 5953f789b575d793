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

// Guards against a stream that ends in the middle of an answer when its engine is killed, which has
// the only copy of the tokens.
test('a generation resumes on another engine with the received tokens as prefix', async (t) => {
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

// Guards against tokens that are generated and billed twice: only the connection breaks, and the
// entry treats the engine as dead.
test('after a broken connection the same stream is resumed', async (t) => {
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

// Guards against an endless wait, or text of two attempts mixed: an engine freezes and its silence
// is not detected, or its late tokens are accepted because their offsets match.
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

// Guards against a wait of five seconds for the next token, where other callers wait half a second:
// a stream that freezes after its first token has no token gaps of its own for the silence limit.
test('the silence limit of a stream with one token follows the token gaps of its service', async (t) => {
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

// Guards against a burst of requests that takes every engine out of service, so that lookups are
// refused: the limit for the first token ignores the queue inside the engine.
test('a queued prefill on an engine that sends tokens does not make the engine suspected', async (t) => {
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
