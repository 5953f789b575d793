import type { TableReplica } from '../createTableReplica';
import type { TableStatement } from '../../types';

/** What a VM knows of a table. */
export interface TableKnowledge {
  readonly table: string;
  readonly replica: Pick<TableReplica, 'listChanges'>;
  readonly ageMs: number;
  /** Time since the store's newest outage ended, in milliseconds; null if there was none. */
  readonly outageEndedAgoMs: number | null;
}

/** Builds the statement for a VM whose rows are complete up to a version. */
export const buildTableStatement = (
  { replica, ...known }: TableKnowledge,
  afterVersion: number,
): TableStatement => {
  const changes = replica.listChanges(afterVersion);
  const { rows, version } = changes ?? replica.listChanges(0) ?? { rows: [], version: 0 };
  return { ...known, after: changes ? afterVersion : 0, rows, version };
};
