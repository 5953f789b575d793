// Guards against repeats of all VMs together beyond their bound, at any phase, in fleets of 2 to 195
// VMs whose processes, beliefs, servers and store fail.
import test from 'ava';
import { simulateRetries, type RetryTrouble } from '../../standins/retries';

const DURATION_MS = 60_000;

const TROUBLES: readonly RetryTrouble[] = [
  'kills',
  'replacements',
  'store cuts',
  'partitions',
  'restored store',
  'suspensions',
];

/** Few requests that need many repeats each, so that the fixed part counts, and many requests. */
const LOADS = [
  { requestsPerS: 4, repeatsWanted: 100 },
  { requestsPerS: 24, repeatsWanted: 5 },
] as const;

const SIZES = [2, 9, 60, 195];

/** The smallest part of the bound that callers get in a calm fleet of up to nine VMs. */
const MIN_CALM_FRACTION = 0.8;

LOADS.forEach((load) =>
  SIZES.forEach((vms) => {
    test(`${vms} VMs repeat ${load.requestsPerS} requests a second within the bound, whatever fails`, async (t) => {
      t.timeout(240_000);
      const found: string[] = [];
      for (const troubles of [...TROUBLES.map((one) => [one]), TROUBLES]) {
        const { allowed, granted, repeats, windowsOver } = await simulateRetries({
          ...{ vms, seed: vms, durationMs: DURATION_MS, maxArrivalMs: 300, troubles, ...load },
        });
        t.true(granted > 0);
        if (windowsOver > 0) found.push(`${troubles}: ${repeats} of ${allowed}`);
      }
      t.deepEqual(found, []);
    });
  }),
);

test('a calm fleet gives its callers most of the bound', async (t) => {
  for (const vms of [2, 9]) {
    const { allowed, repeats } = await simulateRetries({
      ...{ vms, seed: 1, durationMs: DURATION_MS, maxArrivalMs: 300, troubles: [], ...LOADS[0] },
    });
    t.true(repeats >= MIN_CALM_FRACTION * allowed, `${vms}: ${repeats} of ${allowed}`);
  }
});
