import test from 'ava';
import { buildRunOutcome } from '../../standins/fakes';
import { createGossipFleet } from '../../standins/gossip';
import type { CrashHistory } from '../../src/application/crashes';

const NAMES = ['a', 'b', 'c', 'd', 'e'];

/** Records three crashes of one request, each at another VM. */
const crashThree = (
  vms: readonly string[],
  histories: ReadonlyMap<string, CrashHistory>,
  nowMs: number,
): void =>
  vms
    .slice(0, 3)
    .forEach((vm, index) =>
      histories.get(vm)?.recordOutcome(buildRunOutcome({ server: `i-${index}`, atMs: nowMs })),
    );

const countQuarantines = (histories: ReadonlyMap<string, CrashHistory>): number =>
  [...histories.values()].filter((history) => history.readQuarantineMs('f') > 0).length;

test('three crashes at three VMs quarantine a request at all VMs', async (t) => {
  const { clock, gossips, histories, stop } = createGossipFleet(NAMES, {});
  gossips.forEach((gossip) => gossip.start());
  await clock.advanceAsync(6000);
  crashThree(NAMES, histories, clock.readMonotonicMs());
  await clock.advanceAsync(200);
  t.is(countQuarantines(histories), NAMES.length);
  stop();
});

test('a VM that was partitioned or is new learns of the quarantine within the settling time', async (t) => {
  const { addVm, clock, cut, gossips, histories, stop } = createGossipFleet(NAMES, {});
  gossips.forEach((gossip) => gossip.start());
  await clock.advanceAsync(6000);
  cut.add('e');
  crashThree(NAMES, histories, clock.readMonotonicMs());
  await clock.advanceAsync(1000);
  t.is(countQuarantines(histories), NAMES.length - 1);
  cut.delete('e');
  addVm('f', NAMES.length);
  gossips.get('f')?.start();
  await clock.advanceAsync(3000);
  t.is(countQuarantines(histories), NAMES.length + 1);
  stop();
});

test('in a fleet of 200 VMs all know the quarantine within two seconds, and gossip calms down', async (t) => {
  const names = Array.from({ length: 200 }, (_, index) => `vm-${index}`);
  const { clock, countCalls, gossips, histories, stop } = createGossipFleet(names, {});
  gossips.forEach((gossip) => gossip.start());
  await clock.advanceAsync(8000);
  const callsBefore = countCalls();
  await clock.advanceAsync(4000);
  const baselineCalls = countCalls() - callsBefore;
  crashThree(names, histories, clock.readMonotonicMs());
  await clock.advanceAsync(2000);
  t.is(countQuarantines(histories), names.length);
  const callsAfterSpread = countCalls();
  await clock.advanceAsync(4000);
  t.true(countCalls() - callsAfterSpread < baselineCalls * 1.5);
  stop();
});

// Guards against VMs that judge the same crashes differently: news was dated by its arrival.
test('a crash has the same time at all VMs, however long its news waited to be sent', async (t) => {
  const { clock, gossips, histories, stop } = createGossipFleet(NAMES, {});
  gossips.forEach((gossip) => gossip.start());
  await clock.advanceAsync(6000);
  histories.get('a')?.recordOutcome(buildRunOutcome({ atMs: clock.readMonotonicMs() }));
  await clock.advanceAsync(200);
  const ages = NAMES.map((vm) => histories.get(vm)?.listOutcomes()[0]?.ageMs);
  t.deepEqual(ages, [200, 200, 200, 200, 200]);
  stop();
});
