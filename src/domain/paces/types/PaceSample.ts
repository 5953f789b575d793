/** A duration of work that a server did. */
export type PaceSample =
  /** Time to the first event of a stream, on a server without other prefills. */
  | { readonly kind: 'prefill'; readonly tokens: number; readonly tookMs: number }
  /** Time from the first event of a stream to its end, without prefills of other prompts. */
  | { readonly kind: 'decode'; readonly tokens: number; readonly tookMs: number }
  /** Time of an answered call; `workFactor` is the one stated with the answer. */
  | { readonly kind: 'call'; readonly tookMs: number; readonly workFactor: number };
