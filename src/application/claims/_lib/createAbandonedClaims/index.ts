import type { ClaimRow } from '../../../../domain/types';
import type { Clock } from '../../../ports';
import type { ClaimTable } from '../createClaimTable';

/** Given-up claims of non-idempotent work whose write may still take effect. */
export interface AbandonedClaims {
  add(row: ClaimRow): void;
  /** Whether the row is an abandoned claim, under which nothing was ever sent. */
  has(row: ClaimRow): boolean;
  /** Removes rows of abandoned claims that took effect; at most one sweep runs at a time. */
  removeStale(): Promise<void>;
}

/** Maximum number of claims to track; beyond it, the oldest one is dropped. */
const MAX_ABANDONED = 1000;

/** Rows checked in one sweep. */
const SWEEP_BATCH_SIZE = 10;

/** Time after which a write that has not taken effect counts as lost, in milliseconds. */
const PENDING_WRITE_TIMEOUT_MS = 30_000;

/**
 * Creates an empty list of abandoned claims.
 *
 * Without it, a claim whose caller was told `not-run` could appear in the table later and stand for
 * work that nobody does. Repeats of the key would then be referred to a generation that no VM
 * holds.
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
