import type { Result } from 'neverthrow';
import type { RouteTable } from '../../../domain/forwarding';
import type { EventLog, SharedRow } from '../../ports';

/** What a holder needs. */
export interface RouteTableHolderDependencies {
  /** Key of the row that has the configuration. */
  readonly key: string;
  readonly decode: (value: Buffer) => Result<RouteTable, string>;
  readonly log: EventLog;
}

/** Holds the configuration in force. */
export interface RouteTableHolder {
  /** Null before the first one is known. */
  readCurrent(): RouteTable | null;
  applyRows(rows: readonly SharedRow[]): void;
  addListener(listener: (table: RouteTable) => void): void;
}

/**
 * Creates the holder of the configuration. Its version never goes down within a process; a row
 * that can't be decoded leaves the one before in force.
 */
export const createRouteTableHolder = ({
  decode,
  key,
  log,
}: RouteTableHolderDependencies): RouteTableHolder => {
  const listeners: ((table: RouteTable) => void)[] = [];
  let current: RouteTable | null = null;

  const applyValue = (value: Buffer): void => {
    const decoded = decode(value);
    const before = current?.version ?? 0;
    if (decoded.isErr()) {
      log.error('configuration refused', { reason: decoded.error, inForce: before });
      return;
    }
    const table = decoded.value;
    if (table.version <= before) {
      log.info('configuration ignored', { version: table.version, inForce: before });
      return;
    }
    current = table;
    const routes = [...table.routesByHost.values()].reduce((sum, list) => sum + list.length, 0);
    log.info('configuration in force', { version: table.version, before, routes });
    listeners.forEach((listener) => listener(table));
  };

  return {
    readCurrent: () => current,
    applyRows: (rows) =>
      rows.forEach((row) => {
        if (row.key === key && row.value !== null) applyValue(row.value);
      }),
    addListener: (listener) => {
      listeners.push(listener);
    },
  };
};
