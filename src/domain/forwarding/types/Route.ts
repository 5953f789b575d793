/** What a route's requests allow when an attempt fails. */
export const RouteKind = {
  /** Idempotent call: may run more than once. */
  Repeatable: 'repeatable',
  /** Non-idempotent call: runs at most once for each request. */
  Once: 'once',
  /** Server-sent events. */
  Stream: 'stream',
} as const;

/** One of the kinds of routes. */
export type RouteKind = (typeof RouteKind)[keyof typeof RouteKind];

/** A service that may take a route's requests, and its share of them. */
export interface RouteTarget {
  readonly service: string;
  /** Share against the weights of the route's other targets; 0 takes nothing. */
  readonly weight: number;
}

/** Where requests of one host and path prefix go, and how they are treated. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  /** True: a stream may go on at another server after the last event that arrived. */
  readonly resumable: boolean;
  /** Longest time that a request is kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Time to the answer, or to a stream's first event, that counts as good. */
  readonly latencyGoalMs: number;
  /** Longest pause between a stream's events that counts as good. */
  readonly gapGoalMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Servers to which one request may be sent. */
  readonly maxAttempts: number;
  /** True: needs no key. */
  readonly isPublic: boolean;
  readonly targets: readonly RouteTarget[];
}
