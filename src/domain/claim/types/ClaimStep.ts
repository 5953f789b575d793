import type { ClaimRow } from '../../types';

/** What to do next to bring a change of a claim to its end. */
export type ClaimStep =
  /** The row is ours and stands so in the table. */
  | { readonly kind: 'done'; readonly row: ClaimRow }
  /** The row is someone else's, or gone. */
  | { readonly kind: 'lost'; readonly row: ClaimRow | null }
  | { readonly kind: 'read' }
  /** Write `row` if the stored revision is `expectedRevision`, or if there is none for null. */
  | {
      readonly kind: 'write';
      readonly row: ClaimRow;
      readonly expectedRevision: number | null;
    };
