/** A row of the platform's table. */
export interface TableItem {
  readonly partition: string;
  readonly sort: string;
  /** Set by the writer; conditions compare it. */
  readonly revision: number;
  /** JSON text. */
  readonly body: string;
  /** When the platform may remove the row, in seconds since the epoch; 0 means never. */
  readonly expiresAtS: number;
}

/** Condition under which a write takes effect. */
export type WriteCondition =
  | { readonly kind: 'absent' }
  | { readonly kind: 'revision'; readonly revision: number }
  | { readonly kind: 'any' };
