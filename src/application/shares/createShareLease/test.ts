import test from 'ava';
import { createFakeClock, createSeededRandomness, QUIET_LOG } from '../../../../standins/fakes';
import { createVirtualStore } from '../../../../standins/gateway';
import { createShareLease } from '.';

const TOTAL_PARTS = 100;

const buildStore = () => {
  const clock = createFakeClock();
  const store = createVirtualStore(clock);
  store.writeRow('op', 'config', {});
  return { clock, store };
};

const build = (
  { isFirstStart = true, seed = 1, countVms = (): number => 4 } = {},
  { clock, store }: Pick<ReturnType<typeof buildStore>, 'clock' | 'store'> = buildStore(),
) => {
  const lease = createShareLease({
    ...{ vm: 'vm-1', isFirstStart, cooldownMs: 13_000, totalParts: TOTAL_PARTS },
    ...{ table: 'shares', store, countVms, clock, log: QUIET_LOG },
    randomness: createSeededRandomness(seed),
  });
  lease.start();
  return { clock, lease, store };
};

// Guards against requests of a VM's first seconds that go without a retry, and against VMs that claim
// before they know each other: the first two took all parts.
test('a part is claimed after some seconds, or as soon as a request needs it', async (t) => {
  const { clock, lease } = build();
  await clock.advanceAsync(900);
  t.is(lease.countParts(), 0);
  const claim = lease.claimNow();
  await clock.advanceAsync(10);
  await claim;
  t.is(lease.countParts(), 25);
  t.is(lease.claimNow(), null);
  const other = build();
  await other.clock.advanceAsync(6000);
  t.is(other.lease.countParts(), 25);
});

// Guards against requests that wait for a part which their VM could not use.
test('after a restart a part is not usable before the cooldown, and not waited for', async (t) => {
  const first = build();
  await first.clock.advanceAsync(6000);
  first.lease.stop();
  const { clock, lease } = build({ isFirstStart: false }, first);
  t.is(lease.claimNow(), null);
  await clock.advanceAsync(12_900);
  t.is(lease.countParts(), 0);
  await clock.advanceAsync(200);
  t.is(lease.countParts(), 25);
});

test('without the store a part is kept until its lease ends', async (t) => {
  const { clock, lease, store } = build();
  await clock.advanceAsync(6000);
  store.setSilent(true);
  await clock.advanceAsync(108_000);
  t.is(lease.countParts(), 25);
  await clock.advanceAsync(15_000);
  t.is(lease.countParts(), 0);
  store.setSilent(false);
  await clock.advanceAsync(10_000);
  t.is(lease.countParts(), 25);
});

// Guards against a part that is used twice in one window: the settings of a process may still say that
// the whole system starts for the first time when the process starts again.
test('a part that an earlier process held is not usable before the cooldown', async (t) => {
  const first = build();
  await first.clock.advanceAsync(6000);
  first.lease.stop();
  const { clock, lease } = build({ seed: 2 }, first);
  await clock.advanceAsync(12_900);
  t.is(lease.countParts(), 0);
  await clock.advanceAsync(200);
  t.is(lease.countParts(), 25);
});

// Guards against parts that two VMs use: the store may have what is given back before it answers.
test('what is given back is not used while the store has not answered', async (t) => {
  const { clock, store } = buildStore();
  let vms = 1;
  let isAnswering = true;
  const changeRows: typeof store.changeRows = async (changes) => {
    const written = await store.changeRows(changes);
    return isAnswering ? written : new Promise(() => {});
  };
  const { lease } = build({ countVms: () => vms }, { clock, store: { ...store, changeRows } });
  await clock.advanceAsync(6000);
  t.is(lease.countParts(), 50);
  vms = 4;
  isAnswering = false;
  await clock.advanceAsync(6000);
  t.is(lease.countParts(), 25);
});
