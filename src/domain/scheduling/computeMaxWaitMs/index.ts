/** A stream that may wait. */
export interface MaxWaitOptions {
  /** Prefill of the prompt without other prefills. */
  readonly prefillMs: number;
  /** From the start of the prefill to the end of the output, without other runs. */
  readonly runMs: number;
  /** Time left until the caller's deadline. */
  readonly leftMs: number;
  /** Requests that a server runs at the same time. */
  readonly slots: number;
}

/** Time of a run, as a fraction of the time left, within which a lost run can be repeated. */
export const REPEATABLE_FRACTION = 0.5;

/**
 * Computes how long a stream can wait and then still share a server with nearly as many runs as
 * now.
 *
 * The less time a stream has left, the fewer runs may disturb it. If streams waited for as long as
 * their goals allow, servers would have to be kept emptier, and fewer streams would be served.
 *
 * @returns milliseconds
 */
export const computeMaxWaitMs = ({ leftMs, prefillMs, runMs, slots }: MaxWaitOptions): number => {
  const decodeMs = runMs - prefillMs;
  const runs = Math.floor((leftMs * REPEATABLE_FRACTION - decodeMs) / Math.max(1, prefillMs));
  if (runs < 1) return leftMs - runMs;
  const keptRuns = Math.max(1, Math.min(slots, runs) - 1);
  return leftMs - (decodeMs + keptRuns * prefillMs) / REPEATABLE_FRACTION;
};
