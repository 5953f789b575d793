/** A server that crashed, and what it ran. */
export interface CrashedServer {
  readonly server: string;
  /** When the first end of its runs was detected, in monotonic milliseconds. */
  readonly crashedAtMs: number;
  /** Requests that it ran. */
  readonly runs: number;
  /** Those with each prompt part, by the part's fingerprint. */
  readonly parts: ReadonlyMap<string, number>;
  /** How long it had run the requests, in milliseconds. */
  readonly lostMs: number;
  /** The same of those with each prompt part, by the part's fingerprint. */
  readonly lostMsByPart: ReadonlyMap<string, number>;
  /** How long it had run each request, in milliseconds. */
  readonly agesMs: readonly number[];
  /** The same of those with each prompt part, by the part's fingerprint. */
  readonly agesMsByPart: ReadonlyMap<string, readonly number[]>;
  /** Fingerprints of the parts of the request that it had begun, or been sent, last. */
  readonly newestParts: ReadonlySet<string>;
}
