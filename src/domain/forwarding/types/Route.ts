/** Kinds of routes, which differ in how a failed attempt may be retried. */
export const RouteKind = {
  /** Idempotent call, which may run more than once. */
  Repeatable: 'repeatable',
  /** Non-idempotent call, which runs at most once for each request. */
  Once: 'once',
  /** Stream of server-sent events. */
  Stream: 'stream',
} as const;

/** Kind of a route. */
export type RouteKind = (typeof RouteKind)[keyof typeof RouteKind];

/** A service that gets requests of a route, and its share of them. */
export interface RouteTarget {
  readonly service: string;
  /** Weight relative to the route's other targets; 0: the service gets no requests. */
  readonly weight: number;
}

/** Targets and rules for the requests of one host and path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Path prefix; begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  /** True if another server may continue a stream after the last event that arrived. */
  readonly resumable: boolean;
  /** Timeout of a request, in milliseconds. */
  readonly timeoutMs: number;
  /** Goal for the time to the answer, or to the first event of a stream. */
  readonly latencyGoalMs: number;
  /** Goal for the longest gap between the events of a stream. */
  readonly gapGoalMs: number;
  /** Default priority of requests; 0 is the most urgent. */
  readonly priority: number;
  /** Highest number of servers to which one request is sent. */
  readonly maxAttempts: number;
  /** True if requests need no API key. */
  readonly isPublic: boolean;
  readonly targets: readonly RouteTarget[];
}
