import test from 'ava';
import { buildRunOutcome, createFakeClock } from '../../../../../standins/fakes';
import { createCrashControls } from '.';

const NEW = { isHeld: false };

/** A complete run with these parts. */
const buildRun = (...parts: readonly string[]) => ({ parts, runMs: 10, isWhole: true });

const setUp = () => {
  const clock = createFakeClock();
  const controls = createCrashControls({ clock });
  const crash = (atMs: number, { isHeld } = NEW, server = `i-${atMs}`): void =>
    controls.recordCrash(buildRunOutcome({ fingerprint: 'part-a', atMs, server }), { isHeld });
  return { clock, controls, crash };
};

test('runs without a part are counted from its first crash on', (t) => {
  const { controls, crash } = setUp();
  controls.recordRun(buildRun('part-b'));
  t.is(controls.readControl('part-a'), null);
  crash(100);
  controls.recordRun(buildRun('part-a', 'part-b'));
  controls.recordRun(buildRun('part-b'));
  crash(200);
  controls.recordRun(buildRun('part-c'));
  t.deepEqual(controls.readControl('part-a'), {
    sinceMs: 100,
    answers: 1,
    otherAnswers: 2,
    runMs: 10,
    otherRunMs: 20,
  });
});

test('a run that was not complete counts with the time that it spent at its server', (t) => {
  const { controls, crash } = setUp();
  crash(100);
  controls.recordRun({ parts: ['part-a'], runMs: 700, isWhole: false });
  controls.recordRun({ parts: ['part-b'], runMs: 500, isWhole: false });
  t.like(controls.readControl('part-a'), {
    answers: 0,
    otherAnswers: 0,
    runMs: 700,
    otherRunMs: 500,
  });
});

test('a crash a long time after the last one starts a new count, unless the part is held responsible', (t) => {
  const { controls, crash } = setUp();
  crash(0);
  controls.recordRun(buildRun('part-b'));
  crash(60_000, { isHeld: false });
  t.like(controls.readControl('part-a'), { sinceMs: 0, otherAnswers: 1 });
  crash(120_001, { isHeld: true });
  t.like(controls.readControl('part-a'), { sinceMs: 0, otherAnswers: 1 });
  crash(180_002, { isHeld: false });
  t.like(controls.readControl('part-a'), { sinceMs: 180_002, otherAnswers: 0 });
});

test('crashes of whole requests start no count', (t) => {
  const { controls } = setUp();
  controls.recordCrash(buildRunOutcome(), NEW);
  t.is(controls.readControl('f'), null);
});

// Guards against crashes of all VMs that are compared with the runs of one.
test('runs of other VMs count, each as it was last told, also by way of a third VM', (t) => {
  const vms = [setUp(), setUp(), setUp()];
  vms.forEach(({ crash }) => [0, 400, 800].forEach((atMs) => crash(atMs)));
  const countRuns = (vm: number, runs: number): void => {
    for (let run = 0; run < runs; run += 1) vms[vm]?.controls.recordRun(buildRun('part-b'));
  };
  const tell = (from: number, to: number): void =>
    vms[to]?.controls.mergeTallies(vms[from]?.controls.listTallies(from) ?? [], to);
  countRuns(0, 5);
  vms[0]?.controls.recordRun(buildRun('part-a'));
  tell(0, 1);
  countRuns(1, 3);
  tell(1, 2);
  t.like(vms[2]?.controls.readControl('part-a'), { answers: 1, otherAnswers: 8 });
  countRuns(0, 2);
  tell(0, 2);
  tell(1, 2);
  tell(2, 0);
  t.like(vms[2]?.controls.readControl('part-a'), { answers: 1, otherAnswers: 10 });
  t.like(vms[0]?.controls.readControl('part-a'), { answers: 1, otherAnswers: 10 });
});

test('runs are told only of parts under which several servers crashed lately', (t) => {
  const { clock, controls, crash } = setUp();
  crash(0);
  crash(400);
  t.deepEqual(controls.listTallies(1), []);
  crash(800);
  t.is(controls.listTallies(1).length, 1);
  clock.advance(70_000);
  t.deepEqual(controls.listTallies(1), []);
});

test('runs that a VM counts from another crash on are not merged', (t) => {
  const { controls, crash } = setUp();
  [0, 400, 800].forEach((atMs) => crash(atMs));
  const runsByVm = new Map([[7, { runs: 1, otherRuns: 900, runMs: 10, otherRunMs: 9000 }]]);
  controls.mergeTallies([{ part: 'part-a', ageMs: 20_000, runsByVm }], 1);
  t.like(controls.readControl('part-a'), { answers: 0, otherAnswers: 0 });
});
