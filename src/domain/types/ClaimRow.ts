/** States of claimed work. */
export const ClaimState = { Running: 'running', Finished: 'finished', Failed: 'failed' } as const;

/** One of the claim states. */
export type ClaimState = (typeof ClaimState)[keyof typeof ClaimState];

/** The row in the table that records which VM runs a keyed or non-idempotent request. */
export interface ClaimRow {
  readonly workspace: string;
  /** SHA-256 of the idempotency key, or of the request id where there is no key. */
  readonly keyDigest: string;
  /** Unique to one claim, so that a VM recognizes its own write after a lost reply. */
  readonly claimId: string;
  readonly generationId: string;
  /** Digest of the request; a request with another digest under the same key is an error. */
  readonly requestDigest: string;
  readonly vm: string;
  readonly peerAddress: string;
  /** Server of the newest attempt; empty before the first attempt. */
  readonly backendServer: string;
  /** Stream of the newest attempt; empty before the first attempt. */
  readonly streamId: string;
  readonly attempt: number;
  readonly idempotent: boolean;
  readonly state: ClaimState;
  readonly revision: number;
}
