/** States of claimed work. */
export const ClaimState = { Running: 'running', Finished: 'finished', Failed: 'failed' } as const;

/** One of the claim states. */
export type ClaimState = (typeof ClaimState)[keyof typeof ClaimState];

/** The platform's row that says who runs a keyed or non-idempotent request. */
export interface ClaimRow {
  readonly workspace: string;
  /** SHA-256 of the idempotency key, or of the request id where there is no key. */
  readonly keyDigest: string;
  /** Unique to one claim; tells one's own write apart after a lost reply. */
  readonly claimId: string;
  readonly generationId: string;
  /** Digest of the request: another one under the same key is an error. */
  readonly requestDigest: string;
  readonly vm: string;
  readonly peerAddress: string;
  /** Server and stream of the newest attempt; empty before the first. */
  readonly backendServer: string;
  readonly streamId: string;
  readonly attempt: number;
  readonly idempotent: boolean;
  readonly state: ClaimState;
  readonly revision: number;
}
