import test from 'ava';
import { runRowsSchedule } from './_lib/runRowsSchedule';

/** More by hand: `JACKDAW_SCHEDULES=20000 npx ava tests/model/sharedRows.test.ts`. */
const SCHEDULES = Number(process.env.JACKDAW_SCHEDULES ?? 300);

const PARTS = 4;

/**
 * Seeds that once broke a rule: the stand-in of a VM's path to the store did not end a call that was
 * given up, so that a lost call for the servers was waited for to its limit.
 */
const FOUND_SEEDS: readonly number[] = [150, 162, 182, 454, 494, 1234, 1438, 1494, 1826, 1974];

/** Seeds with a store that comes back from copies: a removal of an earlier era hid that a row was gone. */
const FOUND_RESTORE_SEEDS: readonly number[] = [631, 664, 907];

const listBroken = async (
  seeds: readonly number[],
  options: { readonly hasRestores?: boolean } = {},
): Promise<string[]> => {
  const found: string[] = [];
  for (const seed of seeds) {
    const { broken } = await runRowsSchedule({ seed, ...options });
    if (broken.length > 0) found.push(`seed ${seed}: ${broken.join('; ')}`);
  }
  return found;
};

for (let part = 0; part < PARTS; part += 1) {
  test(`VMs in touch follow every change in time, whoever reads it: part ${part}`, async (t) => {
    const seeds = Array.from(
      { length: Math.ceil(SCHEDULES / PARTS) },
      (_, at) => at * PARTS + part,
    );
    t.timeout(3_600_000);
    t.deepEqual(await listBroken(seeds), []);
  });

  test(`VMs in touch follow a store that comes back from copies: part ${part}`, async (t) => {
    const seeds = Array.from(
      { length: Math.ceil(SCHEDULES / PARTS / 2) },
      (_, at) => at * PARTS + part,
    );
    t.timeout(3_600_000);
    t.deepEqual(await listBroken(seeds, { hasRestores: true }), []);
  });
}

test('schedules that once broke a rule break none', async (t) => {
  t.deepEqual(await listBroken(FOUND_SEEDS), []);
});

test('schedules with a restored store that once broke a rule break none', async (t) => {
  t.deepEqual(await listBroken(FOUND_RESTORE_SEEDS, { hasRestores: true }), []);
});
