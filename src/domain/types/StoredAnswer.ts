/** A finished answer, kept so that a repeat of its key gets it again. */
export interface StoredAnswer {
  readonly generationId: string;
  readonly requestDigest: string;
  readonly tokenIds: readonly number[];
  /** Text of each batch as first sent. */
  readonly texts: readonly string[];
  /** Tokens of each batch, in the order of `texts`. */
  readonly tokenCounts: readonly number[];
  readonly finishReason: string;
}
