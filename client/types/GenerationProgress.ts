/** What the client holds of a generation; enough to go on at any entry. */
export interface GenerationProgress {
  readonly generationId: string;
  /** Last cursor received; empty before the first batch. */
  readonly cursor: string;
  readonly tokenIds: readonly number[];
}
