import test from 'ava';
import { applyConfiguration } from '.';
import {
  buildSampleConfiguration,
  createFakeClock,
  createMemoryTableStore,
  createSeededRandomness,
} from '../../../../standins/fakes';
import { listConfigurationRows } from '../listConfigurationRows';

function setUp() {
  const table = createMemoryTableStore();
  const clock = createFakeClock();
  const apply = (deployment: string, expectedVersion: number) =>
    applyConfiguration(
      { table, clock, randomness: createSeededRandomness(deployment.length) },
      {
        configuration: buildSampleConfiguration({ deployment }),
        expectedVersion,
        appliedBy: deployment,
        comment: '',
      },
    );
  const listApplied = async () =>
    (await listConfigurationRows(table, 10)).unwrapOr([]).map((row) => row.appliedBy);
  return { table, clock, apply, listApplied };
}

/** Returns the error kind of a failed apply, or the version of an accepted one. */
async function readOutcome(applied: ReturnType<typeof applyConfiguration>) {
  return (await applied).match(
    ({ version }) => version,
    ({ kind }) => kind,
  );
}

test('versions are written in order, and a missing expected version is refused', async (t) => {
  const { apply, listApplied } = setUp();
  t.is(await readOutcome(apply('first', 0)), 1);
  t.is(await readOutcome(apply('second', 1)), 2);
  t.is(await readOutcome(apply('too-far', 7)), 'conflict');
  t.deepEqual(await listApplied(), ['second', 'first']);
});

// Guards against a lost update: two operators read version 1, change different things and apply at
// the same moment. Without the condition that the version's row is absent the later write wins.
test('of two concurrent operators one wins and the other sees the difference', async (t) => {
  const { apply, listApplied } = setUp();
  await apply('first', 0);
  const [one, two] = await Promise.all([apply('alice', 1), apply('robert', 1)]);
  t.true(one.isOk());
  t.deepEqual(await listApplied(), ['alice', 'first']);
  t.deepEqual(two.isErr() && two.error.kind === 'conflict' ? two.error.changes : [], [
    { key: 'deployment', before: '"first"', after: '"alice"' },
  ]);
});

// Guards against a conflict with one's own change, or a change applied twice: the write takes
// effect, its response is lost and the tool retries. The apply id identifies the tool's own row.
test('a lost response is resolved by reading back', async (t) => {
  const { table, apply, listApplied } = setUp();
  table.loseNextAnswers(1);
  t.is(await readOutcome(apply('first', 0)), 1);
  t.deepEqual(await listApplied(), ['first']);
});

test('a write that was lost on its way is retried', async (t) => {
  const { table, clock, apply, listApplied } = setUp();
  table.dropNextWrites(2);
  const applied = readOutcome(apply('first', 0));
  await clock.advanceAsync(1_000);
  t.is(await applied, 1);
  t.deepEqual(await listApplied(), ['first']);
});

test('an outage after a lost response ends as unknown, one before the write as unavailable', async (t) => {
  const { table, clock, apply } = setUp();
  const write = table.writeItem;
  table.writeItem = async (...args) => {
    table.loseNextAnswers(1);
    const written = await write(...args);
    table.setOutage('unavailable');
    return written;
  };
  const applied = readOutcome(apply('first', 0));
  await clock.advanceAsync(60_000);
  t.is(await applied, 'unknown');
  t.is(await readOutcome(apply('second', 1)), 'unavailable');
});
