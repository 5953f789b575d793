import { FLEET_TABLES, type RowsVm, type RowsFleet } from '../../../../standins/rows';

/** A change that the store acknowledged. */
export interface AcknowledgedChange {
  readonly table: string;
  readonly version: number;
  readonly atMs: number;
}

/** What was known of the world when it is looked at. */
export interface RowsObservation {
  readonly world: RowsFleet;
  readonly changes: readonly AcknowledgedChange[];
  readonly changeMs: number;
  /** Whether the VM has been undisturbed for the settling time, as has the store. */
  readonly isInTouch: (vm: RowsVm) => boolean;
}

/** Rows that a VM lacks, or holds although they are gone, of those that it takes for complete. */
const listWrongRows = ({ store }: RowsFleet, vm: RowsVm, table: string): string[] => {
  const version = vm.readVersion(table);
  const held = vm.readRows(table);
  const present = store.listRowsAt(table, version);
  const missing = [...present].filter(([key, at]) => (held.get(key) ?? 0) < at && held.has(key));
  const lost = [...present.keys()].filter((key) => !held.has(key));
  const stale = [...held].filter(([key, at]) => at <= version && !present.has(key));
  // A row that is newer than what is complete may have been removed since.
  const removedLater = (key: string): boolean =>
    !store.listRowsAt(table, store.readVersion()).has(key);
  return [
    ...missing.map(([key]) => `${vm.name}: ${table}/${key} is older than version ${version}`),
    ...lost
      .filter((key) => !removedLater(key))
      .map((key) => `${vm.name}: ${table}/${key} is missing at version ${version}`),
    ...stale.map(([key]) => `${vm.name}: ${table}/${key} is gone at version ${version}`),
  ];
};

/** Lists what must hold and does not. */
export const listRowsViolations = ({
  changeMs,
  changes,
  isInTouch,
  world,
}: RowsObservation): readonly string[] => {
  const nowMs = world.clock.readMonotonicMs();
  return world.vms
    .filter((vm) => vm.isAlive())
    .flatMap((vm) =>
      FLEET_TABLES.flatMap((table) => {
        const due = changes
          .filter((change) => change.table === table && change.atMs <= nowMs - changeMs)
          .reduce((newest, { version }) => Math.max(newest, version), 0);
        const isOverdue = isInTouch(vm) && vm.readVersion(table) < due;
        const wrong = vm.readVersion(table) === 0 ? [] : listWrongRows(world, vm, table);
        return [
          ...(isOverdue ? [`${vm.name}: ${table} ${vm.readVersion(table)} of ${due}`] : []),
          ...wrong,
        ];
      }).concat(vm.listRegressions()),
    )
    .map((rule) => `${nowMs} ms, ${rule}`);
};
