import test from 'ava';
import { createFakeClock, QUIET_LOG } from '../../../../standins/fakes';
import { createVirtualStore } from '../../../../standins/gateway';
import { createCrashTrials } from '.';

const CAUSE = {
  kind: 'part',
  isCertain: true,
  fingerprints: ['part-a'],
  crashes: 3,
  remainingMs: 0,
  trialPauseMs: 1000,
  unconfirmed: [],
} as const;

const setUp = () => {
  const clock = createFakeClock();
  const store = createVirtualStore(clock);
  /** Servers whose crashes are known to the VMs. */
  const servers = ['i-1'];
  const createTrials = () =>
    createCrashTrials({
      table: 't',
      store,
      clock,
      log: QUIET_LOG,
      crashes: {
        findQuarantine: (fingerprint) => ({
          fingerprint,
          servers,
          lastCrashAtMs: 0,
          ranMs: 60,
          isCertain: true,
        }),
      },
    });
  const settle = async (asked: readonly Promise<boolean>[]): Promise<number> => {
    await clock.advanceAsync(100);
    return (await Promise.all(asked)).filter(Boolean).length;
  };
  return { clock, createTrials, servers, settle, store };
};

test('of all VMs that ask for a trial, one gets it', async (t) => {
  const { createTrials, settle } = setUp();
  const vms = Array.from({ length: 9 }, createTrials);
  t.is(await settle(vms.map((vm) => vm.acquireTrial(CAUSE))), 1);
});

test('the next trial is granted after the pause', async (t) => {
  const { clock, createTrials, servers, settle } = setUp();
  const [first, second] = [createTrials(), createTrials()];
  t.is(await settle([first.acquireTrial(CAUSE)]), 1);
  servers.push('i-2');
  t.is(await settle([second.acquireTrial(CAUSE)]), 0);
  await clock.advanceAsync(1000);
  t.is(await settle([second.acquireTrial(CAUSE)]), 1);
});

// Guards against pauses that stay short, as each trial ends with the VM that knows of its crash.
test('a trial whose outcome nobody told counts as a crash', async (t) => {
  const { clock, createTrials, settle } = setUp();
  const tryAfter = async (delayMs: number): Promise<number> => {
    await clock.advanceAsync(delayMs);
    return settle([createTrials().acquireTrial(CAUSE)]);
  };
  t.is(await tryAfter(0), 1);
  t.is(await tryAfter(1000), 0);
  t.is(await tryAfter(3000), 1);
  t.is(await tryAfter(60_000), 0);
  t.is(await tryAfter(1_000_000), 0);
});

test('a VM that was refused does not ask the store again before the pause is over', async (t) => {
  const { createTrials, settle, store } = setUp();
  const vm = createTrials();
  await settle([vm.acquireTrial(CAUSE)]);
  const calls = store.countCalls();
  await settle([vm.acquireTrial(CAUSE), vm.acquireTrial(CAUSE)]);
  t.is(store.countCalls(), calls);
});

test('there is no trial while the store is silent, nor before one is due', async (t) => {
  const { clock, createTrials, settle, store } = setUp();
  t.is(await settle([createTrials().acquireTrial({ ...CAUSE, remainingMs: 1 })]), 0);
  store.setSilent(true);
  const asked = createTrials().acquireTrial(CAUSE);
  await clock.advanceAsync(5000);
  t.false(await asked);
});
