/** Durations of silence after which a stream is suspected, and then confirmed, to be stuck. */
export interface SilenceLimits {
  readonly suspectMs: number;
  readonly confirmMs: number;
}
