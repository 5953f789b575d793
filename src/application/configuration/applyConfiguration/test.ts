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

/** Error kind of a failed apply, or the version of an accepted one. */
async function judge(applied: ReturnType<typeof applyConfiguration>) {
  return (await applied).match(
    ({ version }) => version,
    ({ kind }) => kind,
  );
}

test('writes versions one after the other and refuses a version that does not exist', async (t) => {
  const { apply, listApplied } = setUp();
  t.is(await judge(apply('first', 0)), 1);
  t.is(await judge(apply('second', 1)), 2);
  t.is(await judge(apply('too-far', 7)), 'conflict');
  t.deepEqual(await listApplied(), ['second', 'first']);
});

// Symptom: an operator's accepted change is gone.
// Sequence: two operators read version 1, change different things and apply at the same moment.
// Cause: a write without the condition that the version's row is absent: the later one stands.
test('of two operators at once one wins and the other sees the difference', async (t) => {
  const { apply, listApplied } = setUp();
  await apply('first', 0);
  const [one, two] = await Promise.all([apply('alice', 1), apply('robert', 1)]);
  t.true(one.isOk());
  t.deepEqual(await listApplied(), ['alice', 'first']);
  t.deepEqual(two.isErr() && two.error.kind === 'conflict' ? two.error.changes : [], [
    { key: 'deployment', before: '"first"', after: '"alice"' },
  ]);
});

// Symptom: the tool reports a conflict with its own change, or applies it twice.
// Sequence: the write takes effect and its answer is lost; the tool sends it again.
// Cause: the row was not told apart from another operator's by its apply id.
test('a lost answer is resolved by reading back', async (t) => {
  const { table, apply, listApplied } = setUp();
  table.loseNextAnswers(1);
  t.is(await judge(apply('first', 0)), 1);
  t.deepEqual(await listApplied(), ['first']);
});

test('a write that was lost on its way is sent again', async (t) => {
  const { table, clock, apply, listApplied } = setUp();
  table.dropNextWrites(2);
  const applied = judge(apply('first', 0));
  await clock.advanceAsync(1_000);
  t.is(await applied, 1);
  t.deepEqual(await listApplied(), ['first']);
});

test('an outage after the lost answer ends as unknown, one before it as unavailable', async (t) => {
  const { table, clock, apply } = setUp();
  const write = table.writeItem;
  table.writeItem = async (...args) => {
    table.loseNextAnswers(1);
    const written = await write(...args);
    table.setOutage('unavailable');
    return written;
  };
  const applied = judge(apply('first', 0));
  await clock.advanceAsync(60_000);
  t.is(await applied, 'unknown');
  t.is(await judge(apply('second', 1)), 'unavailable');
});
