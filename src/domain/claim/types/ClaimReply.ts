import type { ClaimRow } from '../../types';

/** What the table said to the last write or read of a claim. */
export type ClaimReply =
  /** The write took effect. */
  | { readonly kind: 'written' }
  /** The write's condition failed, or a read succeeded: this is the row, or null if none. */
  | { readonly kind: 'current'; readonly row: StoredClaim | null }
  /** The write's answer was lost: it may have taken effect, or may yet. */
  | { readonly kind: 'unknown' };

/** A claim as it stands in the table. */
export interface StoredClaim {
  readonly row: ClaimRow;
  /** Seconds since the epoch. */
  readonly expiresAtS: number;
}
