// Guards against repeats of all VMs together beyond their bound, counted where they arrive.
import { setTimeout as wait } from 'node:timers/promises';
import test, { type ExecutionContext } from 'ava';
import { RETRY_BOUNDS, startRetryFleet, type RetryFleet } from './_lib/startRetryFleet';

/** Requests of all callers at once, and how often they come: more than the bound lets repeat. */
const BURST = { requests: 60, count: 4 };

const VMS = 3;

/** From then on VMs may use what others used before their start. */
const SETTLE_MS = 15_000;

/** Part of the fixed retries that callers must get if they need them. */
const MIN_USED_FRACTION = 0.8;

/** Sends bursts to some gateways, in equal parts. */
const sendBursts = async (
  fleet: RetryFleet,
  vms = Array.from({ length: fleet.count }, (_, index) => index),
): Promise<void> => {
  for (let sent = 0; sent < BURST.count; sent += 1) {
    await Promise.all(vms.map((index) => fleet.sendBurst(index, BURST.requests / vms.length)));
  }
};

const assertWithinBound = (t: ExecutionContext, fleet: RetryFleet): void => {
  const { allowed, repeats, windowsOver } = fleet.findExcess();
  t.log(`${repeats} repeats of ${allowed} in the worst window`);
  t.is(windowsOver, 0, `${repeats} repeats of ${allowed}`);
};

test.serial('VMs that do not know of each other keep the bound together', async (t) => {
  const fleet = await startRetryFleet({ count: VMS, isConnected: false });
  t.teardown(fleet.stop);
  await wait(SETTLE_MS);
  await sendBursts(fleet);
  assertWithinBound(t, fleet);
  t.true(fleet.findExcess().repeats >= MIN_USED_FRACTION * RETRY_BOUNDS.retryExtra);
});

test.serial(
  'VMs that are killed and started again keep the bound with what they used before',
  async (t) => {
    const fleet = await startRetryFleet({ count: VMS });
    t.teardown(fleet.stop);
    await wait(SETTLE_MS);
    await sendBursts(fleet);
    const all = Array.from({ length: VMS }, (_, index) => index);
    await Promise.all(
      all.map(async (index) => {
        await fleet.kill(index);
        await fleet.start(index);
      }),
    );
    await sendBursts(fleet);
    assertWithinBound(t, fleet);
  },
);

test.serial(
  'VMs that remain after others were lost keep the bound with what these used',
  async (t) => {
    const fleet = await startRetryFleet({ count: VMS });
    t.teardown(fleet.stop);
    await wait(SETTLE_MS);
    await sendBursts(fleet);
    await Promise.all([fleet.kill(1), fleet.kill(2)]);
    await wait(RETRY_BOUNDS.retryWindowMs * 0.7);
    await sendBursts(fleet, [0]);
    assertWithinBound(t, fleet);
  },
);
