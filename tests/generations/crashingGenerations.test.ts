// Guards against a generation that crashes up to 24 engines, and breaks the other streams on them:
// the limit on attempts without a token does not tell crashes from refused connections.
import test from 'ava';
import { createFakeClock } from '../../standins/fakes';
import { createScriptedEngines } from '../support/createScriptedEngines';
import { buildRequest, createTestEntry } from '../support/createTestEntry';
import { startFeedReader } from '../support/startFeedReader';

const setUp = () => {
  const clock = createFakeClock();
  const engines = createScriptedEngines();
  const entry = createTestEntry({
    vm: 'entry-1',
    clock,
    engines,
    serverNames: ['engine-1', 'engine-2', 'engine-3', 'engine-4', 'engine-5'],
  });
  return { clock, engines, entry };
};

test('a generation that crashed three engines is not sent to a fourth', async (t) => {
  const { clock, engines, entry } = setUp();
  const { signal } = new AbortController();
  const opening = entry.generations.startGeneration(buildRequest(), signal);
  for (let crashed = 1; crashed <= 3; crashed += 1) {
    await engines.waitForStarts(crashed);
    engines.kill(engines.starts[crashed - 1]!.server);
  }
  await clock.advanceAsync(2000);
  t.is(engines.starts.length, 3);
  const opened = await opening;
  t.is(opened._unsafeUnwrapErr().code, 'engines_crashed');
});

test('a generation that got a token from every lost engine is resumed each time', async (t) => {
  const { engines, entry } = setUp();
  const { signal } = new AbortController();
  const opening = entry.generations.startGeneration(buildRequest(), signal);
  await engines.waitForStarts(1);
  engines.emit(engines.starts[0]!, 1);
  const reader = startFeedReader((await opening)._unsafeUnwrap());
  for (let lost = 1; lost <= 4; lost += 1) {
    await reader.waitForTokens(lost);
    engines.kill(engines.starts[lost - 1]!.server);
    await engines.waitForStarts(lost + 1);
    engines.emit(engines.starts[lost]!, 1, lost === 4 ? 'stop' : undefined);
  }
  t.is((await reader.done).length, 5);
});

// Guards against callers who send a request again that crashed engines: each repeat crashed three
// more, at the same entry or at another.
test('a generation that crashed three engines is not sent again when it is repeated at any entry', async (t) => {
  const clock = createFakeClock();
  const engines = createScriptedEngines();
  const serverNames = ['engine-1', 'engine-2', 'engine-3', 'engine-4', 'engine-5'];
  const second = createTestEntry({ vm: 'entry-2', clock, engines, serverNames });
  const first = createTestEntry({
    vm: 'entry-1',
    clock,
    engines,
    serverNames,
    publishOutcome: second.crashes.mergeOutcome,
  });
  const { signal } = new AbortController();
  const opening = first.generations.startGeneration(buildRequest(), signal);
  for (let crashed = 1; crashed <= 3; crashed += 1) {
    await engines.waitForStarts(crashed);
    engines.kill(engines.starts[crashed - 1]!.server);
  }
  await clock.advanceAsync(2000);
  await opening;
  for (const { generations } of [first, second]) {
    const refused = await generations.startGeneration(buildRequest(), signal);
    t.like(refused._unsafeUnwrapErr(), { code: 'request_quarantined', status: 503 });
  }
  t.is(engines.starts.length, 3);
  second.generations.startGeneration(buildRequest({ digest: 'd2' }), signal);
  await engines.waitForStarts(4);
});

test('a token after two crashes clears the request', async (t) => {
  const { engines, entry } = setUp();
  const { signal } = new AbortController();
  const opening = entry.generations.startGeneration(buildRequest(), signal);
  for (let crashed = 1; crashed <= 2; crashed += 1) {
    await engines.waitForStarts(crashed);
    engines.kill(engines.starts[crashed - 1]!.server);
  }
  await engines.waitForStarts(3);
  t.true(entry.crashes.isSuspected('d1'));
  engines.emit(engines.starts[2]!, 1, 'stop');
  await startFeedReader((await opening)._unsafeUnwrap()).done;
  t.false(entry.crashes.isSuspected('d1'));
});
