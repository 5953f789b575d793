/** The fingerprints of a request. */
export interface RequestPrints {
  /** That of the whole request (`computeFingerprint`). */
  readonly request: string;
  /** Those of its prompt parts (`formatPartFingerprint`). */
  readonly parts: readonly string[];
}
