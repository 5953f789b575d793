/** What the headers of a request ask for. */
export interface RequestOptions {
  /** Value of `Idempotency-Key`, or empty. */
  readonly idempotencyKey: string;
  /** False if `Jackdaw-Idempotent: false` was sent. */
  readonly idempotent: boolean;
  /** Value of `Jackdaw-Timeout-Ms`, or null if the service's own deadline counts. */
  readonly timeoutMs: number | null;
}
