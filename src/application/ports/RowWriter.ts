import type { Result } from 'neverthrow';
import type { RowError } from './RowSource';

/** Changes to one table that are applied atomically. */
export interface RowWrites {
  readonly table: string;
  /** Rows to insert or replace, by key. */
  readonly writes: readonly { readonly key: string; readonly value: Buffer }[];
  /** Keys of rows to remove. */
  readonly removed: readonly string[];
  /** Versions that rows must have, or nothing is changed; 0 if the row must not exist. */
  readonly expected?: readonly { readonly key: string; readonly version: number }[];
}

/** Writes to shared tables. */
export interface RowWriter {
  /** Applies the changes. An error may follow an applied change; retries are idempotent. */
  changeRows(changes: RowWrites): Promise<Result<null, RowError>>;
}
