import {
  createFollowerPair,
  createZoneReplication,
  type RowFollower,
  type RowsOrigin,
  type ZoneReplication,
  type StatementsResponse,
  type StatementsRequest,
} from '../../../src/application/rows';
import type { EventLog, SharedRow } from '../../../src/application/ports';
import {
  computeBatchDelayMs,
  computeStalenessLimits,
  computeStoreTimes,
  type GatewayBounds,
} from '../../../src/domain/forwarding';
import { createFakeClock, createSeededRandomness, QUIET_LOG, type FakeClock } from '../../fakes';
import { createVirtualStore, type VirtualStore } from '../../gateway';
import { createVmClock, type VmClock } from '../createVmClock';
import { createVmStore, type VmStore } from '../createVmStore';

/** Tables that the VMs follow; the first is the follower pair's primary. */
export const FLEET_TABLES = ['op', 'servers'] as const;

/** Versions of a table's rows as a VM received them, by key. */
export type RowVersions = ReadonlyMap<string, number>;

/** A VM that reads rows from the store or from other VMs. */
export interface RowsVm {
  readonly name: string;
  readonly clock: VmClock;
  readonly store: VmStore;
  readonly replication: ZoneReplication;
  readRows(table: string): RowVersions;
  /** Version up to which the VM considers its rows of a table complete. */
  readVersion(table: string): number;
  /** Lists the changes that took a row back to an older version or repeated one. */
  listRegressions(): readonly string[];
  /** Ends the VM without notice to the others. */
  kill(): void;
  isAlive(): boolean;
}

/** VMs that replicate rows among themselves, in virtual time. */
export interface RowsFleet {
  readonly clock: FakeClock;
  readonly store: VirtualStore;
  readonly vms: readonly RowsVm[];
  /** Starts a VM that is new to the others. */
  addVm(availabilityZone: string): RowsVm;
  /** Cuts the link from one VM to another, or restores it if `isCut` is false. */
  setLink(from: string, to: string, isCut: boolean): void;
  /** Sets the additional delay of messages between VMs. */
  setLinkDelay(delayMs: number): void;
}

/** Options of a fleet. */
export interface RowsFleetOptions {
  readonly seed: number;
  readonly zones: readonly string[];
  readonly bounds: Pick<GatewayBounds, 'changeMs' | 'settleMs'>;
  readonly log?: (vm: string) => EventLog;
}

/** One-way delay between two VMs. */
const MESSAGE_MS = 1;

/** An ended VM stays in the member list for this long. */
const MEMBER_EXPIRY_MS = 8000;

/** Creates a fleet with one running VM for each entry of `zones`. */
export const createRowsFleet = ({ bounds, log, seed, zones }: RowsFleetOptions): RowsFleet => {
  const clock = createFakeClock();
  const store = createVirtualStore(clock);
  const vms: RowsVm[] = [];
  const zoneByVm = new Map<string, string>();
  const endedAtMs = new Map<string, number>();
  const cutLinks = new Set<string>();
  let linkDelayMs = 0;
  const stalenessLimits = computeStalenessLimits(bounds);
  const times = computeStoreTimes(bounds);

  const isOpen = (from: string, to: string): boolean => !cutLinks.has(`${from} ${to}`);

  /** Delivers a message to another VM, unless the link is cut or that VM has ended. */
  const deliverMessage = (from: string, to: RowsVm, deliver: () => void): void => {
    clock.startTimer(MESSAGE_MS + linkDelayMs, () => {
      if (isOpen(from, to.name) && to.isAlive()) to.clock.runInVm(deliver);
    });
  };

  const callVm = (
    fromName: string,
    address: string,
    request: StatementsRequest,
    timeoutMs: number,
  ): Promise<StatementsResponse | null> =>
    new Promise((resolve) => {
      const [from, to] = [fromName, address].map((name) => vms.find((vm) => vm.name === name));
      if (!from) return;
      from.clock.startTimer(timeoutMs, () => resolve(null));
      if (!to) return;
      deliverMessage(from.name, to, () => {
        to.replication
          .handleRequest(request)
          .then((answer) => deliverMessage(to.name, from, () => resolve(answer)))
          .catch(() => undefined);
      });
    });

  const addVm = (availabilityZone: string): RowsVm => {
    const name = `vm-${vms.length}`;
    const vmClock = createVmClock(clock);
    const vmStore = createVmStore(store, clock, vmClock);
    const randomness = createSeededRandomness(seed * 1000 + vms.length);
    const rows = new Map(FLEET_TABLES.map((table) => [table as string, new Map<string, number>()]));
    const newest = new Map<string, number>();
    const regressions: string[] = [];
    let notifyReplication = (): void => undefined;
    const createRowHandler =
      (table: string) =>
      (changes: readonly SharedRow[], { source }: RowsOrigin): void => {
        changes.forEach(({ key, value, version }) => {
          const row = `${table}/${key}`;
          const before = newest.get(row) ?? 0;
          if (version <= before)
            regressions.push(`${name}: ${row} from ${before} to ${version}, ${source}`);
          newest.set(row, version);
          if (value === null) rows.get(table)?.delete(key);
          else rows.get(table)?.set(key, version);
        });
      };
    const [guardTable, guardedTable] = FLEET_TABLES;
    const pair = createFollowerPair({
      store: vmStore,
      clock: vmClock,
      randomness,
      log: log?.(name) ?? QUIET_LOG,
      shortWaitMs: times.waitMs,
      times,
      freshMs: stalenessLimits?.freshMs ?? times.claimMs - times.overdueMs,
      staleMs: stalenessLimits?.staleMs ?? Infinity,
      burstPauseMs: computeBatchDelayMs(bounds),
      handleUpdate: () => notifyReplication(),
      primary: { table: guardTable, handleRows: createRowHandler(guardTable) },
      secondary: { table: guardedTable, handleRows: createRowHandler(guardedTable) },
    });
    const followers = new Map<string, RowFollower>([
      [guardTable, pair.primary],
      [guardedTable, pair.secondary],
    ]);
    const replication = createZoneReplication({
      self: { vm: name, address: name, availabilityZone, cores: 0.3 },
      sharing: stalenessLimits,
      pair,
      followers,
      listMembers: () =>
        vms
          .filter((vm) => vm.name !== name)
          .filter(
            (vm) =>
              clock.readMonotonicMs() - (endedAtMs.get(vm.name) ?? Infinity) < MEMBER_EXPIRY_MS ||
              vm.isAlive(),
          )
          .map((vm) => ({
            vm: vm.name,
            address: vm.name,
            availabilityZone: zoneByVm.get(vm.name) ?? '',
            cores: 0.3,
          })),
      requestStatements: (address, request, timeoutMs) => callVm(name, address, request, timeoutMs),
      clock: vmClock,
      randomness,
      log: log?.(name) ?? QUIET_LOG,
    });
    notifyReplication = replication.handleUpdate;
    let isAlive = true;
    const self: RowsVm = {
      name,
      clock: vmClock,
      store: vmStore,
      replication,
      readRows: (table) => rows.get(table) ?? new Map(),
      readVersion: (table) => followers.get(table)?.readVersion() ?? 0,
      listRegressions: () => regressions,
      kill: () => {
        isAlive = false;
        endedAtMs.set(name, clock.readMonotonicMs());
        replication.stop();
        pair.primary.stop();
        pair.secondary.stop();
        vmClock.pause('stopped');
      },
      isAlive: () => isAlive,
    };
    vms.push(self);
    zoneByVm.set(name, availabilityZone);
    pair.primary.start();
    pair.secondary.start();
    replication.start();
    return self;
  };

  zones.forEach(addVm);
  return {
    clock,
    store,
    vms,
    addVm,
    setLink: (from, to, isCut) => {
      if (isCut) cutLinks.add(`${from} ${to}`);
      else cutLinks.delete(`${from} ${to}`);
    },
    setLinkDelay: (delayMs) => {
      linkDelayMs = delayMs;
    },
  };
};
