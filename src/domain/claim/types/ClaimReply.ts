import type { ClaimRow } from '../../types';

/** The result of the last write or read of a claim. */
export type ClaimReply =
  /** The write took effect. */
  | { readonly kind: 'written' }
  /** The condition of the write failed, or a read succeeded: the current row, or null if none. */
  | { readonly kind: 'current'; readonly row: StoredClaim | null }
  /** The response to the write was lost: the write may have taken effect, or may still do so. */
  | { readonly kind: 'unknown' };

/** A claim as stored in the table. */
export interface StoredClaim {
  readonly row: ClaimRow;
  /** Seconds since the epoch. */
  readonly expiresAtS: number;
}
