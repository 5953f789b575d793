import type { Result } from 'neverthrow';

/** A row of a shared table as it was stored. */
export interface SharedRow {
  readonly key: string;
  /** Null: the row was removed. */
  readonly value: Buffer | null;
  /** Grows with each change of any row, also when the store comes back from a copy (`computeRowVersion`). */
  readonly version: number;
}

/** Rows that changed, and up to which version nothing is missing. */
export interface RowChanges {
  readonly rows: readonly SharedRow[];
  readonly version: number;
  /** The store's own steady clock at its answer, in milliseconds, if it told it. */
  readonly storeMs?: number;
}

/** Failure of a read of shared rows. */
export type RowError =
  /** It may work again later, also at another source. */
  | { readonly kind: 'unavailable'; readonly reason: string }
  /** Changes since that version are not known, or the store came back from a copy: read all rows anew. */
  | { readonly kind: 'history-lost' };

/** Gives the rows of shared tables: the platform's store, or another VM that follows it. */
export interface RowSource {
  readRows(table: string): Promise<Result<RowChanges, RowError>>;
  /** Waits up to `waitMs` for a change after `version`. */
  followRows(
    table: string,
    options: { readonly version: number; readonly waitMs: number },
    signal: AbortSignal,
  ): Promise<Result<RowChanges, RowError>>;
}
