// Symptom: one generation ends up to 24 engines, and the streams that run there with it.
// Sequence: each engine that begins it ends before its first token; the next one gets it.
// Cause: attempts without a token are counted together, whether an engine ended under them or refused.
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

test('a generation that crashed three engines is sent to no fourth one', async (t) => {
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

test('a generation whose tokens came from each engine that was lost goes on', async (t) => {
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
