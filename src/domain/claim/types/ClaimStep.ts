import type { ClaimRow } from '../../types';

/** The next step to complete a change of a claim. */
export type ClaimStep =
  /** The row belongs to this VM and is stored in the table. */
  | { readonly kind: 'done'; readonly row: ClaimRow }
  /** The row belongs to another VM, or no longer exists. */
  | { readonly kind: 'lost'; readonly row: ClaimRow | null }
  | { readonly kind: 'read' }
  /** Write `row` if the stored revision equals `expectedRevision`; null expects no row. */
  | {
      readonly kind: 'write';
      readonly row: ClaimRow;
      readonly expectedRevision: number | null;
    };
