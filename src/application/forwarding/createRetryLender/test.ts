import test from 'ava';
import { createFakeClock, createSeededRandomness, QUIET_LOG } from '../../../../standins/fakes';
import { createRetryBudget } from '../createRetryBudget';
import { createRetryLender, type RetryLender } from '.';

const BOUNDS = { retryRatio: 0.8, retryWindowMs: 10_000, retryExtra: 150 };

/** VMs that share the bounds and reach each other. */
const setUp = (count: number, requestsEach = 0) => {
  const clock = createFakeClock();
  const randomness = createSeededRandomness(7);
  const lenders = new Map<string, RetryLender>();
  const names = Array.from({ length: count }, (_, index) => `vm-${index}`);
  names.forEach((vm) => {
    const retries = createRetryBudget({ bounds: BOUNDS, clock, countVms: () => count });
    for (let index = 0; index < requestsEach; index += 1) retries.recordRequest('s');
    const others = names.filter((name) => name !== vm);
    const lender = createRetryLender({
      retries,
      log: QUIET_LOG,
      pickPeers: (wanted) =>
        Array.from(
          { length: wanted },
          () => others[Math.floor(randomness.readFraction() * others.length)] ?? '',
        ),
      askPeer: async (address, service) => lenders.get(address)?.lendRetry(service) ?? false,
    });
    lenders.set(vm, lender);
  });
  return { names, lenders };
};

const acquireAll = async (lender: RetryLender, wanted: number): Promise<number> => {
  let acquired = 0;
  for (let index = 0; index < wanted; index += 1) {
    if (await lender.acquireRetry('s')) acquired += 1;
  }
  return acquired;
};

// Symptom: streams of some VMs stand still for 4.5 to 6.5 s after a zone was lost.
// Sequence: 60 VMs; one has ten streams there, most have none.
// Cause: each VM has a sixtieth of the repeats, two of them, whoever needs them.
// Before: 2 of 10 repeats; now 10.
test('a VM that needs more repeats than its part gets those that others have left', async (t) => {
  const { lenders } = setUp(60);
  t.is(await acquireAll(lenders.get('vm-3') as RetryLender, 10), 10);
});

test('all VMs together never take more than the bound', async (t) => {
  const { lenders, names } = setUp(60);
  const taken = await Promise.all(
    names.map((vm) => acquireAll(lenders.get(vm) as RetryLender, 20)),
  );
  const sum = taken.reduce((total, one) => total + one, 0);
  t.true(sum <= BOUNDS.retryExtra, `${sum}`);
  t.true(sum >= 100, `${sum}`);
});

// Symptom: with hundreds of VMs streams stand still for 4 to 9 s after a server was lost ('no repeat
// left', 15 attempts in a row), with nine tenths of the shared repeats unused.
// Sequence: 195 VMs, each with one request in the window; one needs five repeats.
// Cause: each VM has between one and two repeats, and lent half of them at most, which is none.
// Before: 1 of 5 repeats; now 5.
test('VMs that have less than two repeats each lend them all the same', async (t) => {
  const { lenders } = setUp(195, 1);
  t.is(await acquireAll(lenders.get('vm-3') as RetryLender, 5), 5);
});

test('195 VMs together never take more than the bound', async (t) => {
  const { lenders, names } = setUp(195, 1);
  const taken = await Promise.all(names.map((vm) => acquireAll(lenders.get(vm) as RetryLender, 6)));
  const sum = taken.reduce((total, one) => total + one, 0);
  t.true(sum <= BOUNDS.retryExtra + 195 * BOUNDS.retryRatio, `${sum}`);
  t.true(sum >= 150, `${sum}`);
});
