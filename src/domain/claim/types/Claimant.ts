/** What a VM adds to a request to claim it. */
export interface Claimant {
  /** Unique to this claim. */
  readonly claimId: string;
  readonly vm: string;
  readonly peerAddress: string;
  /** Random, at least 1: first revision of a new row, or what a successor adds to the old one. */
  readonly revision: number;
}
