import type { Result } from 'neverthrow';
import type { RouteTable } from '../../../domain/forwarding';
import type { EventLog, SharedRow } from '../../ports';
import type { RowsOrigin } from '../../rows';

/** Dependencies of the route table holder. */
export interface RouteTableHolderDependencies {
  /** Key of the row that holds the configuration. */
  readonly key: string;
  readonly decode: (value: Buffer) => Result<RouteTable, string>;
  /** Age of what this VM knows of the configuration, in milliseconds. */
  readonly readAgeMs: () => number;
  /** Age up to which that is current, in milliseconds. */
  readonly claimMs: number;
  readonly log: EventLog;
}

/** Holds the current configuration. */
export interface RouteTableHolder {
  /** The current configuration; null before the first one is known. */
  readCurrent(): RouteTable | null;
  /** `origin` is where the rows come from; it is logged. */
  applyRows(rows: readonly SharedRow[], origin?: Pick<RowsOrigin, 'ageMs' | 'source'>): void;
  /** True if the configuration holds all changes that have to be in force now. */
  isCurrent(): boolean;
  addListener(listener: (table: RouteTable) => void): void;
}

/**
 * Creates the holder of the configuration. Its version never decreases within a process. A row that
 * cannot be decoded leaves the current configuration in force.
 */
export const createRouteTableHolder = ({
  claimMs,
  decode,
  key,
  log,
  readAgeMs,
}: RouteTableHolderDependencies): RouteTableHolder => {
  const listeners: ((table: RouteTable) => void)[] = [];
  let current: RouteTable | null = null;

  const applyValue = (value: Buffer, origin?: Pick<RowsOrigin, 'ageMs' | 'source'>): void => {
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
    log.info('configuration in force', {
      version: table.version,
      before,
      routes,
      ...(origin && Number.isFinite(origin.ageMs)
        ? { source: origin.source, ageMs: Math.round(origin.ageMs) }
        : {}),
    });
    listeners.forEach((listener) => listener(table));
  };

  return {
    readCurrent: () => current,
    isCurrent: () => readAgeMs() <= claimMs,
    applyRows: (rows, origin) =>
      rows.forEach((row) => {
        if (row.key === key && row.value !== null) applyValue(row.value, origin);
      }),
    addListener: (listener) => {
      listeners.push(listener);
    },
  };
};
