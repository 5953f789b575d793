/** State of a circuit breaker; times are monotonic milliseconds. */
export type Breaker =
  /** Calls are let through; `failures` counts consecutive failures. */
  | { readonly kind: 'closed'; readonly failures: number }
  /** Calls fail at once until `untilMs`; `openings` counts consecutive openings. */
  | { readonly kind: 'open'; readonly untilMs: number; readonly openings: number }
  /** One call is running as a probe; all others fail at once. */
  | { readonly kind: 'half-open'; readonly untilMs: number; readonly openings: number };

/** Initial state of a breaker. */
export const CLOSED_BREAKER: Breaker = { kind: 'closed', failures: 0 };
