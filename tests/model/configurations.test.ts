// Two operators apply a configuration concurrently, with any interleaving of their reads and
// writes, lost answers, and writes that arrive after they were given up. Also checks every network
// partition between VMs and the table. The checks must also find each seeded fault.
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

/** Exactly one operator's change is accepted, and the stored row is that change. */
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

test('exactly one of two concurrent changes is accepted, and an accepted change is not replaced', async (t) => {
  const property = buildProperty((table) => table);
  await fc.assert(property, RUNS);
  t.pass();
});

test('finds a seeded fault: versions are written unconditionally', async (t) => {
  const ignoreConditions: Wrap = (table) => ({
    ...table,
    writeItem: (item) => table.writeItem(item, { kind: 'any' }),
  });
  const { failed } = await fc.check(buildProperty(ignoreConditions), RUNS);
  t.true(failed);
});

/**
 * Finds a partition of up to nine VMs with a wrong decision. Some VMs read the table; the VMs of
 * one group do not, and hear only each other.
 */
function findUnsafePartition(check: typeof checkFreshness): string | null {
  for (let vms = 1; vms <= 9; vms += 1) {
    for (let readers = 0; readers < vms; readers += 1) {
      for (let heard = 1; heard <= vms - readers; heard += 1) {
        const isServing = check({
          newestReadAgeMs: FRESHNESS_LIMIT_MS + 1,
          vmsHeard: heard,
          vmsRegistered: vms,
          behindMs: 0,
        }).isOk();
        // At least half of the VMs read a table that is up; a table that no VM reads is down.
        const isUp = readers * 2 >= vms;
        const partition = `${heard} of ${vms} VMs hear each other, ${readers} read the table`;
        if (isServing && isUp) return partition;
        if (!isServing && readers === 0 && heard * 2 > vms) return partition;
      }
    }
  }
  return null;
}

test('no partition lets a VM serve that may miss a change, and an outage stops no majority', (t) => {
  t.is(findUnsafePartition(checkFreshness), null);
});

test('finds a seeded fault: half of the VMs keep serving in an even partition', (t) => {
  const partition = findUnsafePartition((evidence) =>
    checkFreshness({ ...evidence, vmsHeard: evidence.vmsHeard + 0.5 }),
  );
  t.is(partition, '1 of 2 VMs hear each other, 1 read the table');
});
