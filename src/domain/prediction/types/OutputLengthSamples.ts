/** Output lengths of the most recent finished generations of one service and workspace. */
export interface OutputLengthSamples {
  /** Lengths in tokens, oldest first. */
  readonly tokens: readonly number[];
}
