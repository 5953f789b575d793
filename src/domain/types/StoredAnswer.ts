/** A finished answer, stored to be replayed to later requests with the same idempotency key. */
export interface StoredAnswer {
  readonly generationId: string;
  readonly requestDigest: string;
  readonly tokenIds: readonly number[];
  /** Text of each batch as first sent. */
  readonly texts: readonly string[];
  /** Number of tokens in each batch, in the order of `texts`. */
  readonly tokenCounts: readonly number[];
  readonly finishReason: string;
}
