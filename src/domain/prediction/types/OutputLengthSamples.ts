/** Output lengths of the newest finished generations of one service and workspace. */
export interface OutputLengthSamples {
  /** In tokens, oldest first. */
  readonly tokens: readonly number[];
}
