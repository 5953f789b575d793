/** Output lengths of the newest finished generations of one service and workspace. */
export interface OutputSamples {
  /** In tokens, oldest first. */
  readonly tokens: readonly number[];
}
