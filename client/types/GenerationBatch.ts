/** Tokens that arrived in one event. Each token of a generation is in exactly one batch. */
export interface GenerationBatch {
  readonly generationId: string;
  /** Position of the first token, counted from the start of the generation. */
  readonly offset: number;
  readonly tokenIds: readonly number[];
  readonly text: string;
  /** Opaque cursor after this batch, signed by the system. */
  readonly cursor: string;
  /** Set on the last batch, otherwise null. */
  readonly finishReason: string | null;
}
