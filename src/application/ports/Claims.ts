import type { Result } from 'neverthrow';
import type { ClaimRow, StoredAnswer } from '../../domain/types';

/** Request for a claim, made before anything is sent to a backend server. */
export interface ClaimRequest {
  readonly workspace: string;
  readonly keyDigest: string;
  readonly generationId: string;
  readonly requestDigest: string;
  readonly idempotent: boolean;
}

/** Outcome of a claim: granted to this VM, or taken, with the row of the holder. */
export type ClaimOutcome =
  | { readonly kind: 'granted'; readonly row: ClaimRow }
  | { readonly kind: 'taken'; readonly row: ClaimRow };

/** Failure of a call to the claims; the caller must not send anything. */
export type ClaimError =
  | { readonly kind: 'store-unavailable'; readonly reason: string; readonly retryAfterMs: number }
  /** Another VM has changed the row since. */
  | { readonly kind: 'lost'; readonly row: ClaimRow | null };

/** Claims on keyed and non-idempotent work, kept in the platform's table. */
export interface Claims {
  /** Claims a key; a lost response is resolved by reading back and comparing the claim id. */
  acquireClaim(request: ClaimRequest): Promise<Result<ClaimOutcome, ClaimError>>;
  readClaim(workspace: string, keyDigest: string): Promise<Result<ClaimRow | null, ClaimError>>;
  /** Takes over the claim of a dead VM; fails with `lost` if another VM took it over first. */
  takeOverClaim(row: ClaimRow): Promise<Result<ClaimRow, ClaimError>>;
  /** Records server, stream and attempt, or the final state. Returns the new row. */
  updateClaim(
    row: ClaimRow,
    change: Partial<Pick<ClaimRow, 'backendServer' | 'streamId' | 'attempt' | 'state'>>,
  ): Promise<Result<ClaimRow, ClaimError>>;
  /** Stores the answer of the request, then marks the claim as finished. */
  writeAnswer(row: ClaimRow, answer: StoredAnswer): Promise<Result<ClaimRow, ClaimError>>;
  readAnswer(row: ClaimRow): Promise<Result<StoredAnswer | null, ClaimError>>;
}
