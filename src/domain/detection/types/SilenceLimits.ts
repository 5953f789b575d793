/** Silences after which a stream is suspected, and then confirmed as stuck. */
export interface SilenceLimits {
  readonly suspectMs: number;
  readonly confirmMs: number;
}
