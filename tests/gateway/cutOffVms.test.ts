// Guards against requests that fail at VMs which lost their links to all backend servers.
import { setTimeout as wait } from 'node:timers/promises';
import test, { type ExecutionContext } from 'ava';
import type { CutMode } from './_lib/startCuttableProxy';
import { sendFirstTries } from './_lib/sendFirstTries';
import { startGatewayFleet, type FleetVm } from './_lib/startGatewayFleet';

/** From then on, VMs that are cut off serve as the others do. */
const SETTLE_MS = 3000;

/** Smallest share of served first tries, relative to VMs that are not cut off. */
const MIN_RELATIVE_SHARE = 2 / 3;

/** Smallest share of first tries that VMs must serve to be compared with. */
const MIN_OTHER_SHARE = 0.95;

const LOAD = { count: 20, pauseMs: 100 };

/** Rounds of requests until VMs that are not cut off serve, and until all go directly. */
const MAX_ROUNDS = 8;

/** What VMs learned before the cut has reached all VMs by then. */
const PROPAGATION_MS = 700;

const CUT_ZONE = 'z1';

const MODES: readonly CutMode[] = ['hang', 'reset', 'refuse-new'];

const isCut = ({ zone }: FleetVm): boolean => zone === CUT_ZONE;

const sendToAll = (vms: readonly FleetVm[]) =>
  Promise.all(vms.map(({ gateway }) => sendFirstTries(gateway, LOAD)));

const countLines = (vms: readonly FleetVm[], message: string): number =>
  vms.flatMap(({ gateway }) => gateway.lines).filter((line) => line.message === message).length;

/** Lets the VMs take requests during the time in which they may fail. */
const settle = async (vms: readonly FleetVm[]): Promise<void> => {
  await Promise.all([sendToAll(vms), wait(SETTLE_MS)]);
};

/** Computes the share of first tries that each VM serves. */
const measureShares = async (vms: readonly FleetVm[]) => {
  const tries = await sendToAll(vms);
  return vms.map((vm, index) => ({
    vm: vm.gateway.vm,
    isCut: isCut(vm),
    share: (tries[index]?.served ?? 0) / LOAD.count,
  }));
};

/**
 * Asserts that VMs that are cut off serve first tries as often as the others. A round in which the
 * others do not serve shows nothing, as the machine was too slow for the servers.
 */
const assertServing = async (t: ExecutionContext, vms: readonly FleetVm[]): Promise<void> => {
  for (let round = 0; round < MAX_ROUNDS; round += 1) {
    const shares = await measureShares(vms);
    const otherShare = Math.min(...shares.filter((one) => !one.isCut).map(({ share }) => share));
    if (otherShare >= MIN_OTHER_SHARE) {
      const lowest = Math.min(...shares.map(({ share }) => share));
      t.true(lowest >= MIN_RELATIVE_SHARE * otherShare, JSON.stringify(shares));
      return;
    }
    t.log('VMs that are not cut off do not serve', JSON.stringify(shares));
  }
  t.fail('VMs that are not cut off do not serve');
};

/** Lists later suspicions of the VMs that are not cut off. */
const followSuspicions = (vms: readonly FleetVm[]) => {
  const others = vms.filter((vm) => !isCut(vm)).map(({ gateway }) => gateway);
  const skipped = others.map(({ lines }) => lines.length);
  return () =>
    others
      .flatMap(({ lines }, index) => lines.slice(skipped[index]))
      .filter(({ message }) => message === 'server suspected');
};

/** Sends requests until a round passes in which none was sent through another VM. */
const hasReturnedToDirectPaths = async (
  t: ExecutionContext,
  vms: readonly FleetVm[],
): Promise<boolean> => {
  for (let round = 0; round < MAX_ROUNDS; round += 1) {
    const before = countLines(vms, 'attempt relayed');
    await assertServing(t, vms);
    if (countLines(vms, 'attempt relayed') === before) return true;
  }
  return false;
};

MODES.forEach((mode) => {
  test.serial(
    `VMs of a zone that is cut off from all servers (${mode}) serve first tries`,
    async (t) => {
      const { stop, vms } = await startGatewayFleet();
      t.teardown(stop);
      await sendToAll(vms);
      const cutVms = vms.filter(isCut);
      await Promise.all(cutVms.map((vm) => vm.cutFromServers(mode)));
      const settled = settle(vms);
      await wait(PROPAGATION_MS);
      const listSuspicions = followSuspicions(vms);
      await settled;
      await assertServing(t, vms);
      // A server may be too slow for another VM as well, which tells all.
      const isOwn = listSuspicions().some(({ cause }) => cause !== 'told');
      t.true(isOwn || listSuspicions().length === 0, JSON.stringify(listSuspicions()));
      await Promise.all(cutVms.map((vm) => vm.restoreServers()));
      t.true(await hasReturnedToDirectPaths(t, vms));
    },
  );
});

test.serial('VMs that are cut off from all servers serve while a relay is frozen', async (t) => {
  const { stop, vms } = await startGatewayFleet();
  t.teardown(stop);
  await Promise.all(vms.filter(isCut).map((vm) => vm.cutFromServers('reset')));
  await settle(vms);
  const relay = vms.find((vm) => !isCut(vm));
  relay?.gateway.freeze();
  const running = vms.filter((vm) => vm !== relay);
  await settle(running);
  await assertServing(t, running);
});
