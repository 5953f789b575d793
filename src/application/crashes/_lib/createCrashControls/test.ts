import test from 'ava';
import { buildRunOutcome } from '../../../../../standins/fakes';
import { createCrashControls } from '.';

const crashAt = (atMs: number) => buildRunOutcome({ fingerprint: 'part-a', atMs });

test('runs without a part are counted from its first crash on', (t) => {
  const controls = createCrashControls();
  controls.recordWholeRun(['part-b']);
  t.is(controls.readControl('part-a'), null);
  controls.recordCrash(crashAt(100));
  controls.recordWholeRun(['part-a', 'part-b']);
  controls.recordWholeRun(['part-b']);
  controls.recordCrash(crashAt(200));
  controls.recordWholeRun(['part-c']);
  t.deepEqual(controls.readControl('part-a'), { sinceMs: 100, otherAnswers: 2 });
});

test('a crash a long time after the last one starts a new count', (t) => {
  const controls = createCrashControls();
  controls.recordCrash(crashAt(0));
  controls.recordWholeRun(['part-b']);
  controls.recordCrash(crashAt(60_001));
  t.deepEqual(controls.readControl('part-a'), { sinceMs: 60_001, otherAnswers: 0 });
});

test('crashes of whole requests start no count', (t) => {
  const controls = createCrashControls();
  controls.recordCrash(buildRunOutcome());
  t.is(controls.readControl('f'), null);
});
