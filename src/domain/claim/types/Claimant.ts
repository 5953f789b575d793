/** The fields of a claim that identify the claiming VM and its claim. */
export interface Claimant {
  /** Unique to this claim. */
  readonly claimId: string;
  readonly vm: string;
  readonly peerAddress: string;
  /** Random, at least 1: first revision of a new row, or increment of the revision on takeover. */
  readonly revision: number;
}
