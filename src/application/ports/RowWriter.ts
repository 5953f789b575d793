import type { Result } from 'neverthrow';
import type { RowError } from './RowSource';

/** Changes to one table that are made together. */
export interface RowWrites {
  readonly table: string;
  /** Rows that take the place of those with their keys. */
  readonly writes: readonly { readonly key: string; readonly value: Buffer }[];
  /** Keys of rows to remove. */
  readonly removed: readonly string[];
  /** Versions that rows must have, or nothing is changed; 0: there must be no such row. */
  readonly expected?: readonly { readonly key: string; readonly version: number }[];
}

/** Writes to shared tables. */
export interface RowWriter {
  /** An error may come of a change that was made: both are safe to repeat. */
  changeRows(changes: RowWrites): Promise<Result<null, RowError>>;
}
