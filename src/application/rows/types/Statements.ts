import type { SharedRow } from '../../ports';

/** A VM's gap-free rows or changes of a table, with their age. */
export interface TableStatement {
  readonly table: string;
  /** The rows are the changes after this version; 0: the rows are the whole table. */
  readonly after: number;
  /** Version up to which the rows are complete. */
  readonly version: number;
  readonly rows: readonly SharedRow[];
  /** Time since the store had no newer change, in milliseconds. */
  readonly ageMs: number;
  /** Time from the end of the store's newest outage until then, in milliseconds, or null. */
  readonly outageEndedAgoMs: number | null;
}

/** Version and age of the rows that the requesting VM already holds. */
export interface HeldTable {
  readonly table: string;
  readonly version: number;
  readonly ageMs: number;
}

/** Request for the changes that another VM holds beyond the held versions. */
export interface StatementsRequest {
  readonly held: readonly HeldTable[];
  /** How long the response may wait for newer rows, in milliseconds. */
  readonly waitMs: number;
}

/** Response to a `StatementsRequest`. */
export interface StatementsResponse {
  /** How long the response waited at the responding VM, in milliseconds. */
  readonly heldMs: number;
  /** Whether the responding VM's own calls to the store fail. */
  readonly isCutOff: boolean;
  readonly tables: readonly TableStatement[];
}
