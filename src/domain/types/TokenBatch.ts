/** The tokens of one engine event. */
export interface TokenBatch {
  /** Offset of the first token, counted from the start of the generation. */
  readonly offset: number;
  readonly tokenIds: readonly number[];
  readonly text: string;
  /** Set on the last batch, else null. */
  readonly finishReason: string | null;
}
