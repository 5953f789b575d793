// Guards against repeats beyond the bound of all VMs where servers or VMs stand still, counted where
// they arrive.
import { setTimeout as wait } from 'node:timers/promises';
import test, { type ExecutionContext } from 'ava';
import { startRetryFleet, type RetryFleet } from './_lib/startRetryFleet';

const VMS = 3;

/** From then on VMs may use what others used before their start. */
const SETTLE_MS = 15_000;

/** Requests come all the while, whether earlier ones were answered or not. */
const LOAD = { intervalMs: 100, requests: 2 } as const;

/** Sends requests to all gateways for some time; resolves once all have ended. */
const sendLoad = async (fleet: RetryFleet, durationMs: number): Promise<void> => {
  const sent: Promise<readonly number[]>[] = [];
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs) {
    for (let index = 0; index < VMS; index += 1) sent.push(fleet.sendBurst(index, LOAD.requests));
    await wait(LOAD.intervalMs);
  }
  await Promise.all(sent);
};

const assertWithinBound = (t: ExecutionContext, fleet: RetryFleet): void => {
  const { allowed, repeats, windowsOver } = fleet.findExcess();
  t.log(`${repeats} repeats of ${allowed} in the worst window`);
  t.true(repeats > 0);
  t.is(windowsOver, 0, `${repeats} repeats of ${allowed}`);
};

test.serial('attempts that servers read after standing still keep the bound', async (t) => {
  const fleet = await startRetryFleet({ count: VMS });
  t.teardown(fleet.stop);
  await wait(SETTLE_MS);
  const load = sendLoad(fleet, 24_000);
  await wait(1000);
  await fleet.holdServers(8500);
  await load;
  assertWithinBound(t, fleet);
});

test.serial('requests that VMs read after standing still allow no further repeats', async (t) => {
  const fleet = await startRetryFleet({ count: VMS, deadlineMs: 9000 });
  t.teardown(fleet.stop);
  await wait(SETTLE_MS);
  const load = sendLoad(fleet, 30_000);
  await wait(12_000);
  await fleet.freezeGateways(6000);
  await load;
  assertWithinBound(t, fleet);
});
