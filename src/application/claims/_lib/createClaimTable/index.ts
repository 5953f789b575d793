import { err, ok, type Result } from 'neverthrow';
import {
  computeClaimExpiryS,
  decodeClaim,
  encodeClaim,
  type ClaimReply,
  type StoredClaim,
} from '../../../../domain/claim';
import type { ClaimRow } from '../../../../domain/types';
import type { Clock, StoreError, TableItem, TableStore, WriteCondition } from '../../../ports';

/** Reads and writes claims as rows of the table. */
export interface ClaimTable {
  readRow(workspace: string, keyDigest: string): Promise<Result<StoredClaim | null, StoreError>>;
  /** A failed condition or a lost response is a reply; any error means that nothing was written. */
  writeRow(row: ClaimRow, expectedRevision: number | null): Promise<Result<ClaimReply, StoreError>>;
  removeRow(row: ClaimRow): Promise<Result<void, StoreError>>;
}

/** Dependencies of the table of claims. */
export interface ClaimTableDependencies {
  readonly tableStore: TableStore;
  readonly clock: Clock;
  /** How long finished answers are kept, in milliseconds; from the current configuration. */
  readonly readAnswerTtlMs: () => number;
}

const buildPartition = (workspace: string): string => `claim#${workspace}`;

const buildCondition = (expectedRevision: number | null): WriteCondition =>
  expectedRevision === null ? { kind: 'absent' } : { kind: 'revision', revision: expectedRevision };

function convertItem(item: TableItem | null): Result<StoredClaim | null, StoreError> {
  if (item === null) return ok(null);
  return decodeClaim(item.body, item.revision)
    .map((row) => ({ row, expiresAtS: item.expiresAtS }))
    .mapErr(({ reason }): StoreError => ({ kind: 'invalid', reason }));
}

function convertWriteError(error: StoreError): Result<ClaimReply, StoreError> {
  if (error.kind === 'ambiguous') return ok({ kind: 'unknown' });
  if (error.kind !== 'condition-failed') return err(error);
  return convertItem(error.current).map((row) => ({ kind: 'current', row }));
}

/** Creates the table of claims on top of the table store. */
export function createClaimTable(dependencies: ClaimTableDependencies): ClaimTable {
  const { tableStore, clock, readAnswerTtlMs } = dependencies;
  return {
    readRow: async (workspace, keyDigest) => {
      const read = await tableStore.readItem(buildPartition(workspace), keyDigest);
      return read.andThen(convertItem);
    },
    writeRow: async (row, expectedRevision) => {
      const item: TableItem = {
        partition: buildPartition(row.workspace),
        sort: row.keyDigest,
        revision: row.revision,
        body: encodeClaim(row),
        expiresAtS: computeClaimExpiryS(row, clock.readWallMs(), readAnswerTtlMs()),
      };
      const written = await tableStore.writeItem(item, buildCondition(expectedRevision));
      return written.map((): ClaimReply => ({ kind: 'written' })).orElse(convertWriteError);
    },
    removeRow: (row) =>
      tableStore.removeItem(
        buildPartition(row.workspace),
        row.keyDigest,
        buildCondition(row.revision),
      ),
  };
}
