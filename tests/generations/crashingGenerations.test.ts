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
