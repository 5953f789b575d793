// Two operators apply a configuration at the same moment, in any order of their reads and writes,
// with answers lost and writes that arrive after they were given up; and every way in which a group
// of VMs can be split from the table. Each seeded fault must be found, else this shows nothing.
import test from 'ava';
import fc from 'fast-check';
import {
  buildSampleConfiguration,
  createFakeClock,
  createMemoryTableStore,
  createScheduledTableStore,
  createSeededRandomness,
  type StepScheduler,
  type WriteFate,
} from '../../standins/fakes';
import { applyConfiguration, listConfigurationRows } from '../../src/application/configuration';
import type { TableStore } from '../../src/application/ports';
import { checkFreshness, FRESHNESS_LIMIT_MS } from '../../src/domain/configuration';

type Wrap = (table: TableStore) => TableStore;

async function runRace(
  scheduler: StepScheduler & { waitFor: <T>(p: Promise<T>) => Promise<T> },
  fates: readonly WriteFate[],
  wrap: Wrap,
) {
  const memory = createMemoryTableStore();
  const table = createScheduledTableStore(wrap(memory), scheduler, fates);
  const clock = {
    ...createFakeClock(),
    startTimer: (_: number, callback: () => void) => {
      scheduler.schedule(Promise.resolve(), 'timer').then(callback);
      return () => {};
    },
  };
  const configuration = buildSampleConfiguration();
  const applies = ['ana', 'gwen'].map((appliedBy, seed) =>
    applyConfiguration(
      { table, clock, randomness: createSeededRandomness(seed) },
      { expectedVersion: 0, configuration, appliedBy, comment: '' },
    ),
  );
  const outcomes = await scheduler.waitFor(Promise.all(applies));
  const rows = (await listConfigurationRows(memory, 10))._unsafeUnwrap();
  return { outcomes, rows };
}

/** Exactly one operator is told that it was accepted, and its row is the one that stands. */
const buildProperty = (wrap: Wrap) =>
  fc.asyncProperty(
    fc.scheduler(),
    fc.array(fc.constantFrom<WriteFate>('none', 'answer', 'late'), { minLength: 5, maxLength: 5 }),
    async (scheduler, fates) => {
      const { outcomes, rows } = await runRace(scheduler, fates, wrap);
      const accepted = outcomes.flatMap((outcome) =>
        outcome.isOk() ? [outcome.value.applyId] : [],
      );
      const conflicts = outcomes.filter(
        (outcome) => outcome.isErr() && outcome.error.kind === 'conflict',
      );
      return (
        accepted.length === 1 &&
        conflicts.length === 1 &&
        rows.length === 1 &&
        rows[0]?.applyId === accepted[0]
      );
    },
  );

const RUNS = { seed: 7, numRuns: 500 };

test('of two operators one is accepted, and nothing accepted is replaced', async (t) => {
  const property = buildProperty((table) => table);
  await fc.assert(property, RUNS);
  t.pass();
});

test('finds a seeded fault: versions written without their condition', async (t) => {
  const ignoreConditions: Wrap = (table) => ({
    ...table,
    writeItem: (item) => table.writeItem(item, { kind: 'any' }),
  });
  const { failed } = await fc.check(buildProperty(ignoreConditions), RUNS);
  t.true(failed);
});

/** Splits of up to nine VMs: some read the table, a group that cannot hears only itself. */
function findUnsafeSplit(check: typeof checkFreshness): string | null {
  for (let vms = 1; vms <= 9; vms += 1) {
    for (let reading = 0; reading < vms; reading += 1) {
      for (let heard = 1; heard <= vms - reading; heard += 1) {
        const goesOn = check({
          newestReadAgeMs: FRESHNESS_LIMIT_MS + 1,
          vmsHeard: heard,
          vmsRegistered: vms,
          behindMs: 0,
        }).isOk();
        // A table that is up is read by at least half of the VMs; one that no VM reads is down.
        const isUp = reading * 2 >= vms;
        const split = `${heard} of ${vms} VMs hear each other, ${reading} read the table`;
        if (goesOn && isUp) return split;
        if (!goesOn && reading === 0 && heard * 2 > vms) return split;
      }
    }
  }
  return null;
}

test('no split lets a VM go on that may miss a change, and an outage stops no majority', (t) => {
  t.is(findUnsafeSplit(checkFreshness), null);
});

test('finds a seeded fault: an even split goes on', (t) => {
  const found = findUnsafeSplit((evidence) =>
    checkFreshness({ ...evidence, vmsHeard: evidence.vmsHeard + 0.5 }),
  );
  t.is(found, '1 of 2 VMs hear each other, 1 read the table');
});
