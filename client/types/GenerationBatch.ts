/** Tokens that arrived together. Each token of a generation is in exactly one batch. */
export interface GenerationBatch {
  readonly generationId: string;
  /** Position of the first token, counted from the start of the generation. */
  readonly offset: number;
  readonly tokenIds: readonly number[];
  readonly text: string;
  /** Opaque position after this batch, as the system signed it. */
  readonly cursor: string;
  /** Set on the last batch, else null. */
  readonly finishReason: string | null;
}
