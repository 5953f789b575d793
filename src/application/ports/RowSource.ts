import type { Result } from 'neverthrow';

/** A stored row of a shared table. */
export interface SharedRow {
  readonly key: string;
  /** Null if the row was removed. */
  readonly value: Buffer | null;
  /**
   * Grows with each change of any row, also after the store is restored from a backup
   * (`computeRowVersion`).
   */
  readonly version: number;
}

/** Changed rows, and the version up to which they are complete. */
export interface RowChanges {
  readonly rows: readonly SharedRow[];
  readonly version: number;
  /** The store's monotonic clock at its response in milliseconds, if the response carries it. */
  readonly storeMs?: number;
}

/** Failure of a read of shared rows. */
export type RowError =
  /** A retry, or another source, may succeed. */
  | { readonly kind: 'unavailable'; readonly reason: string }
  /**
   * The source no longer knows the changes since that version, or the store was restored from a
   * backup; the caller must read all rows again.
   */
  | { readonly kind: 'history-lost' };

/** Options of a call for rows. */
export interface RowCallOptions {
  /** Whether the call repeats one without an answer, whose connection may be dead. */
  readonly isRepeat?: boolean;
  /** Called when the first part of the answer arrives. */
  readonly handleProgress?: () => void;
}

/** Source of the rows of shared tables: the platform's store, or a VM that follows the store. */
export interface RowSource {
  readRows(
    table: string,
    options?: RowCallOptions,
    signal?: AbortSignal,
  ): Promise<Result<RowChanges, RowError>>;
  /** Long-polls for changes after `version`, for up to `waitMs`. */
  followRows(
    table: string,
    options: RowCallOptions & { readonly version: number; readonly waitMs: number },
    signal: AbortSignal,
  ): Promise<Result<RowChanges, RowError>>;
}
