import { Hono } from 'hono';
import type { VmRecord } from '../../../src/domain/types';
import { createFaultyServer, type FaultyServer, type ServerEnv } from '../../http';

/** A stand-in of the platform's VM list. */
export interface StandInVmList extends FaultyServer {
  setVms(vms: readonly VmRecord[]): void;
  markLeaving(vm: string): void;
  removeVm(vm: string): void;
  /** Sets the delay after which changes become visible. */
  setLagMs(lagMs: number): void;
}

interface Snapshot {
  readonly atMs: number;
  readonly vms: readonly VmRecord[];
}

const renderVm = (vm: VmRecord) => ({
  vm: vm.vm,
  peer_address: vm.peerAddress,
  region: vm.region,
  availability_zone: vm.availabilityZone,
  leaving: vm.leaving,
});

/** Creates a VM list whose changes become visible after a configurable delay. */
export async function createStandInVmList(
  options: { readonly readMs?: () => number } = {},
): Promise<StandInVmList> {
  const readMs = options.readMs ?? (() => performance.now());
  let lagMs = 0;
  let snapshots: readonly Snapshot[] = [{ atMs: Number.NEGATIVE_INFINITY, vms: [] }];
  const readNewest = (): readonly VmRecord[] => snapshots.at(-1)?.vms ?? [];
  const addSnapshot = (vms: readonly VmRecord[]): void => {
    snapshots = [...snapshots.slice(-100), { atMs: readMs(), vms }];
  };
  const app = new Hono<ServerEnv>();
  app.get('/vms', (c) => {
    const seen = snapshots.findLast((snapshot) => snapshot.atMs <= readMs() - lagMs);
    return c.json({ vms: (seen?.vms ?? []).map(renderVm) });
  });
  const server = await createFaultyServer(app, () => false);
  return {
    ...server,
    setVms: addSnapshot,
    markLeaving: (vm) => {
      addSnapshot(
        readNewest().map((record) => (record.vm === vm ? { ...record, leaving: true } : record)),
      );
    },
    removeVm: (vm) => {
      addSnapshot(readNewest().filter((record) => record.vm !== vm));
    },
    setLagMs: (nextLagMs) => {
      lagMs = nextLagMs;
    },
  };
}
