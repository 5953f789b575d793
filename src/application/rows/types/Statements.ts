import type { SharedRow } from '../../ports';

/** What one VM holds of a table, without a gap, and how old that knowledge is. */
export interface TableStatement {
  readonly table: string;
  /** The rows are those that changed after this version; 0 if they are all rows. */
  readonly after: number;
  /** Version up to which no change is missing. */
  readonly version: number;
  readonly rows: readonly SharedRow[];
  /** How long ago the store had no newer change, in milliseconds. */
  readonly ageMs: number;
  /** How long before then the newest outage of the store ended, in milliseconds, or null. */
  readonly outageEndedAgoMs: number | null;
}

/** What a VM holds of a table when it asks another one for more. */
export interface HeldTable {
  readonly table: string;
  readonly version: number;
  readonly ageMs: number;
}

/** Asks a VM for what it holds beyond this. */
export interface StatementsRequest {
  readonly held: readonly HeldTable[];
  /** How long the answer may be held back until there is more to tell, in milliseconds. */
  readonly waitMs: number;
}

/** A VM's answer. */
export interface StatementsResponse {
  /** How long it was held back, in milliseconds. */
  readonly heldMs: number;
  /** The VM's own calls to the store fail. */
  readonly isCutOff: boolean;
  readonly tables: readonly TableStatement[];
}
