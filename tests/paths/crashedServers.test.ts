// Paths to servers that are known to have crashed.
import test from 'ava';
import { createPathsFixture, PATH_SERVER_IDS as IDS, ROUND_MS } from '../../standins/paths';

// Guards against a search of each VM for paths to each server of a zone that has crashed.
test('no path is looked for to a server that is known to have crashed', async (t) => {
  const { clock, countProbes, countQuestions, failAt, paths, reachedIds } = createPathsFixture({
    a: ['i-2'],
  });
  reachedIds.delete('i-1');
  await failAt('i-1');
  paths.recordCrash('i-1');
  const before = { probes: countProbes(), questions: countQuestions() };
  await clock.advanceAsync(5 * ROUND_MS);
  t.deepEqual({ probes: countProbes(), questions: countQuestions() }, before);
  paths.recordCrash('i-3');
  await failAt('i-3');
  t.is(await paths.findFailureCause('i-3'), 'server');
  t.deepEqual({ probes: countProbes(), questions: countQuestions() }, before);
});

test('a server that answers after its crash was told, or another incarnation of it, is looked for again', async (t) => {
  const { countProbes, failAt, paths, readRelay, reachedIds } = createPathsFixture({ a: IDS });
  paths.recordCrash('i-1');
  paths.recordCrash('i-2@1');
  paths.recordAnswer('i-1', { isNewConnection: true });
  reachedIds.clear();
  const before = countProbes();
  await failAt('i-1');
  await failAt('i-2');
  t.true(countProbes() > before);
  t.deepEqual(['i-1', 'i-2'].map(readRelay), ['a', 'a']);
});
