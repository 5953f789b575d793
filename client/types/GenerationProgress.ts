/** State that the client keeps of a generation; enough to resume at any entry. */
export interface GenerationProgress {
  readonly generationId: string;
  /** Last cursor received; empty before the first batch. */
  readonly cursor: string;
  readonly tokenIds: readonly number[];
}
