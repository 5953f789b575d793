import test from 'ava';
import { runRowsSchedule } from './_lib/runRowsSchedule';

/**
 * Schedules per run. For more: `JACKDAW_SCHEDULES=20000 npx ava tests/model/sharedRows.test.ts`.
 */
const SCHEDULES = Number(process.env.JACKDAW_SCHEDULES ?? 300);

const PARTS = 4;

/**
 * Seeds that once violated a rule: the fake network path to the store did not end an abandoned
 * call, so that a lost call for the servers table was awaited until its timeout.
 */
const REGRESSION_SEEDS: readonly number[] = [150, 162, 182, 454, 494, 1234, 1438, 1494, 1826, 1974];

/** Seeds with a restored store, where a deletion of an earlier era hid that a row was gone. */
const RESTORE_REGRESSION_SEEDS: readonly number[] = [631, 664, 907];

const listViolations = async (
  seeds: readonly number[],
  options: { readonly hasRestores?: boolean } = {},
): Promise<string[]> => {
  const failures: string[] = [];
  for (const seed of seeds) {
    const { violations } = await runRowsSchedule({ seed, ...options });
    if (violations.length > 0) failures.push(`seed ${seed}: ${violations.join('; ')}`);
  }
  return failures;
};

for (let part = 0; part < PARTS; part += 1) {
  test(`undisturbed VMs apply every change in time, whichever VM reads it: part ${part}`, async (t) => {
    const seeds = Array.from(
      { length: Math.ceil(SCHEDULES / PARTS) },
      (_, at) => at * PARTS + part,
    );
    t.timeout(3_600_000);
    t.deepEqual(await listViolations(seeds), []);
  });

  test(`undisturbed VMs follow a store that is restored from copies: part ${part}`, async (t) => {
    const seeds = Array.from(
      { length: Math.ceil(SCHEDULES / PARTS / 2) },
      (_, at) => at * PARTS + part,
    );
    t.timeout(3_600_000);
    t.deepEqual(await listViolations(seeds, { hasRestores: true }), []);
  });
}

test('schedules that once violated a rule violate none', async (t) => {
  t.deepEqual(await listViolations(REGRESSION_SEEDS), []);
});

test('schedules with a restored store that once violated a rule violate none', async (t) => {
  t.deepEqual(await listViolations(RESTORE_REGRESSION_SEEDS, { hasRestores: true }), []);
});
