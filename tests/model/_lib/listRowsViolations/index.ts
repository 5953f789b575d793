import { FLEET_TABLES, type RowsVm, type RowsFleet } from '../../../../standins/rows';

/** A change that the store acknowledged. */
export interface AcknowledgedChange {
  readonly table: string;
  readonly version: number;
  readonly atMs: number;
}

/** State of the simulated fleet at the time of a check, and the changes acknowledged so far. */
export interface RowsObservation {
  readonly world: RowsFleet;
  readonly changes: readonly AcknowledgedChange[];
  readonly changeMs: number;
  /** Whether neither the VM nor the store was disturbed within the settling time. */
  readonly isSettled: (vm: RowsVm) => boolean;
}

/**
 * Lists rows that are outdated, missing or deleted at the version that a VM reports as complete.
 */
const listWrongRows = ({ store }: RowsFleet, vm: RowsVm, table: string): string[] => {
  const version = vm.readVersion(table);
  const held = vm.readRows(table);
  const expected = store.listRowsAt(table, version);
  const outdated = [...expected].filter(([key, at]) => (held.get(key) ?? 0) < at && held.has(key));
  const missing = [...expected.keys()].filter((key) => !held.has(key));
  const deleted = [...held].filter(([key, at]) => at <= version && !expected.has(key));
  // A row newer than the complete version may have been deleted since.
  const isDeletedLater = (key: string): boolean =>
    !store.listRowsAt(table, store.readVersion()).has(key);
  return [
    ...outdated.map(([key]) => `${vm.name}: ${table}/${key} is older than version ${version}`),
    ...missing
      .filter((key) => !isDeletedLater(key))
      .map((key) => `${vm.name}: ${table}/${key} is missing at version ${version}`),
    ...deleted.map(([key]) => `${vm.name}: ${table}/${key} was deleted by version ${version}`),
  ];
};

/** Lists violations of the rules for replicated rows: overdue changes, wrong rows, regressions. */
export const listRowsViolations = ({
  changeMs,
  changes,
  isSettled,
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
        const isOverdue = isSettled(vm) && vm.readVersion(table) < due;
        const wrongRows = vm.readVersion(table) === 0 ? [] : listWrongRows(world, vm, table);
        return [
          ...(isOverdue
            ? [`${vm.name}: ${table} at version ${vm.readVersion(table)}, due ${due}`]
            : []),
          ...wrongRows,
        ];
      }).concat(vm.listRegressions()),
    )
    .map((violation) => `${nowMs} ms, ${violation}`);
};
