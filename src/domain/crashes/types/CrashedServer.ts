/** Requests that a server ran. */
export interface LostRuns {
  readonly runs: number;
  /** Those with each prompt part, by the part's fingerprint. */
  readonly parts: ReadonlyMap<string, number>;
}

/** A server that crashed, and what it ran. */
export interface CrashedServer extends LostRuns {
  readonly server: string;
  /** How long it had run the requests, in milliseconds. */
  readonly lostMs: number;
  /** The same of those with each prompt part, by the part's fingerprint. */
  readonly lostMsByPart: ReadonlyMap<string, number>;
  /** Fingerprints of the parts of the request that it had begun, or been sent, last. */
  readonly newestParts: ReadonlySet<string>;
  /** Requests that it had not run for long. */
  readonly early: LostRuns;
  /** Requests that it had just begun, or been sent. */
  readonly young: LostRuns;
}
