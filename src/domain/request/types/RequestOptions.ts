/** Options that a caller sets in the headers of a request. */
export interface RequestOptions {
  /** Value of `Idempotency-Key`, or empty. */
  readonly idempotencyKey: string;
  /** False if `Jackdaw-Idempotent: false` was sent. */
  readonly idempotent: boolean;
  /** Value of `Jackdaw-Timeout-Ms`, or null to use the default deadline of the service. */
  readonly timeoutMs: number | null;
}
