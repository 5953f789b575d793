import type { ClaimRow } from '../../../../domain/types';
import type { Clock } from '../../../ports';
import type { ClaimTable } from '../createClaimTable';

/** Claims of non-idempotent work given up without a verdict, whose write may yet take effect. */
export interface AbandonedClaims {
  add(row: ClaimRow): void;
  /** Whether the row is one of these: nothing was ever sent under it. */
  has(row: ClaimRow): boolean;
  /** Removes those that took effect after all; at most one sweep runs at a time. */
  removeStale(): Promise<void>;
}

/** The oldest are forgotten beyond this many. */
const MAX_ABANDONED = 1000;

/** Rows looked at in one sweep. */
const SWEEP_BATCH_SIZE = 10;

/** A write that has not shown by then was lost on its way, milliseconds. */
const PENDING_WRITE_TIMEOUT_MS = 30_000;

/**
 * Creates the list of abandoned claims.
 *
 * Without it, a claim whose caller was told `not-run` can appear in the table later and stand for
 * work that no one does; one would notice repeats of the key that are told of a generation that
 * no VM holds.
 */
export function createAbandonedClaims(table: ClaimTable, clock: Clock): AbandonedClaims {
  const abandoned = new Map<string, { readonly row: ClaimRow; readonly sinceMs: number }>();
  let sweeping = false;

  const removeOne = async (row: ClaimRow, sinceMs: number): Promise<void> => {
    const read = await table.readRow(row.workspace, row.keyDigest);
    if (read.isErr()) return;
    const current = read.value?.row ?? null;
    if (current?.claimId === row.claimId) {
      await table.removeRow(current);
      return;
    }
    if (current !== null || clock.readMonotonicMs() - sinceMs > PENDING_WRITE_TIMEOUT_MS) {
      abandoned.delete(row.claimId);
    }
  };

  return {
    add: (row) => {
      abandoned.set(row.claimId, { row, sinceMs: clock.readMonotonicMs() });
      const [oldest] = abandoned.keys();
      if (abandoned.size > MAX_ABANDONED && oldest !== undefined) abandoned.delete(oldest);
    },
    has: (row) => abandoned.has(row.claimId),
    removeStale: async () => {
      if (sweeping || abandoned.size === 0) return;
      sweeping = true;
      const batch = [...abandoned.values()].slice(0, SWEEP_BATCH_SIZE);
      await Promise.all(batch.map(({ row, sinceMs }) => removeOne(row, sinceMs)));
      sweeping = false;
    },
  };
}
