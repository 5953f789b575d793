import type { Result } from 'neverthrow';
import type { ClaimRow, StoredAnswer } from '../../domain/types';

/** A claim to be made, before anything is sent to a back end. */
export interface ClaimRequest {
  readonly workspace: string;
  readonly keyDigest: string;
  readonly generationId: string;
  readonly requestDigest: string;
  readonly idempotent: boolean;
}

/** Outcome of a claim: it is ours, or the row of whoever has it. */
export type ClaimOutcome =
  | { readonly kind: 'granted'; readonly row: ClaimRow }
  | { readonly kind: 'taken'; readonly row: ClaimRow };

/** Failure of the claims: nothing may be sent on the strength of it. */
export type ClaimError =
  | { readonly kind: 'store-unavailable'; readonly reason: string; readonly retryAfterMs: number }
  /** Someone else has changed the row since. */
  | { readonly kind: 'lost'; readonly row: ClaimRow | null };

/** Claims on keyed and non-idempotent work, kept in the platform's table. */
export interface Claims {
  /** Claims the key; a lost reply is resolved by reading back and comparing the claim id. */
  acquireClaim(request: ClaimRequest): Promise<Result<ClaimOutcome, ClaimError>>;
  readClaim(workspace: string, keyDigest: string): Promise<Result<ClaimRow | null, ClaimError>>;
  /** Takes over the claim of a dead VM; fails with `lost` if another VM was first. */
  takeOverClaim(row: ClaimRow): Promise<Result<ClaimRow, ClaimError>>;
  /** Records server, stream and attempt, or the end state. Gives the new row. */
  updateClaim(
    row: ClaimRow,
    change: Partial<Pick<ClaimRow, 'backendServer' | 'streamId' | 'attempt' | 'state'>>,
  ): Promise<Result<ClaimRow, ClaimError>>;
  /** Stores the answer, then marks the claim as finished. */
  writeAnswer(row: ClaimRow, answer: StoredAnswer): Promise<Result<ClaimRow, ClaimError>>;
  readAnswer(row: ClaimRow): Promise<Result<StoredAnswer | null, ClaimError>>;
}
