/** State of a circuit breaker; times are monotonic milliseconds. */
export type Breaker =
  /** Calls go out; `failures` counts those in a row that failed. */
  | { readonly kind: 'closed'; readonly failures: number }
  /** Calls fail at once until `untilMs`; `openings` counts openings in a row. */
  | { readonly kind: 'open'; readonly untilMs: number; readonly openings: number }
  /** One call is out as a probe; all others fail at once. */
  | { readonly kind: 'half-open'; readonly untilMs: number; readonly openings: number };

/** The state a breaker begins with. */
export const CLOSED_BREAKER: Breaker = { kind: 'closed', failures: 0 };
