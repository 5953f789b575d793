/** What a VM adds to a request to claim it. */
export interface ClaimSeed {
  /** Unique to this claim. */
  readonly claimId: string;
  readonly vm: string;
  readonly peerAddress: string;
  /** First revision of a new row: random, see `buildClaim`. */
  readonly revision: number;
}
