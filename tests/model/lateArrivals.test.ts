// Guards against repeats of all VMs together beyond their bound where attempts or requests are read late,
// or a store comes back without what VMs hold.
import test from 'ava';
import { simulateRetries, type RetryTrouble } from '../../standins/retries';

/** A play, and the sizes and seeds that broke the bound before VMs counted late arrivals. */
interface LatePlay {
  readonly troubles: readonly RetryTrouble[];
  readonly load: {
    readonly requestsPerS: number;
    readonly repeatsWanted: number;
    readonly hasBursts?: boolean;
  };
  readonly durationMs: number;
  readonly troubleEveryMs?: number;
  readonly plays: readonly (readonly [vms: number, seed: number])[];
}

const FEW = { requestsPerS: 4, repeatsWanted: 100 };
const MANY = { requestsPerS: 24, repeatsWanted: 5 };
const STEADY = { requestsPerS: 120, repeatsWanted: 2, hasBursts: false };

const PLAYS: Readonly<Record<string, LatePlay>> = {
  'attempts that servers read late keep the bound, with few requests': {
    ...{ troubles: ['standing servers'], load: FEW, durationMs: 60_000 },
    plays: [
      [2, 2],
      [9, 4],
      [60, 2],
    ],
  },
  'attempts that servers read late keep the bound, with many requests': {
    ...{ troubles: ['standing servers'], load: MANY, durationMs: 60_000 },
    plays: [
      [2, 4],
      [9, 1],
      [60, 2],
    ],
  },
  'requests that VMs read late allow no repeats beyond the bound': {
    ...{ troubles: ['standing VMs'], load: STEADY, durationMs: 80_000, troubleEveryMs: 12_000 },
    plays: [
      [2, 1],
      [9, 4],
    ],
  },
  'a store that comes back without the ledger gives out no parts that are held': {
    ...{ troubles: ['lost ledger', 'partitions'], load: FEW, durationMs: 60_000 },
    plays: [
      [5, 2],
      [9, 1],
    ],
  },
  'VMs and servers that stand still, are killed and are cut off keep the bound': {
    troubles: ['standing VMs', 'standing servers', 'kills', 'partitions', 'lost ledger'],
    ...{ load: MANY, durationMs: 60_000 },
    plays: [
      [6, 1],
      [42, 1],
    ],
  },
};

Object.entries(PLAYS).forEach(([title, { load, plays, ...play }]) => {
  test(title, async (t) => {
    t.timeout(240_000);
    const found: string[] = [];
    for (const [vms, seed] of plays) {
      const options = { ...play, ...load, vms, seed, maxArrivalMs: 300 };
      const { allowed, granted, repeats, windowsOver } = await simulateRetries(options);
      t.true(granted > 0);
      if (windowsOver > 0) found.push(`${vms} VMs: ${repeats} of ${allowed}`);
    }
    t.deepEqual(found, []);
  });
});
