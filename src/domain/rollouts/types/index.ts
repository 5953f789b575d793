/** State of a roll-out. */
export const RolloutState = {
  /** A small fraction of the requests goes to the new version. */
  InProgress: 'in-progress',
  /** All new requests go to the new version; running ones on the old servers may end. */
  Switching: 'switching',
  /** The old servers are stopped. */
  Completed: 'completed',
  /** No requests are sent to the new version any more. */
  Reverted: 'reverted',
} as const;

export type RolloutState = (typeof RolloutState)[keyof typeof RolloutState];

/** An operator's order to move a service to another version of its servers. */
export interface RolloutOrder {
  readonly service: string;
  /** Version to which the service is to move. */
  readonly to: string;
  /** Time that the order allows for the roll-out. */
  readonly durationMs: number;
  /** Increases with each order; a repeated order is a new one. */
  readonly sequence: number;
}

/** State of an order as known to this VM. */
export interface RolloutVerdict {
  readonly service: string;
  readonly to: string;
  readonly sequence: number;
  readonly state: RolloutState;
  /** True if the shared store holds the verdict, which makes it final. */
  readonly isStored: boolean;
}

/** Counts of requests to servers of one version; they only increase. */
export interface VersionTally {
  readonly requests: number;
  /** Requests that failed or were far slower than usual. */
  readonly poor: number;
}

/** Tallies of both versions on one route, over the same time. */
export interface RouteTally {
  readonly established: VersionTally;
  readonly candidate: VersionTally;
}

/** Tallies by route. */
export type RolloutTallies = ReadonlyMap<string, RouteTally>;

/** Judgement of a new version. */
export type VersionJudgement =
  | { readonly kind: 'bad'; readonly route: string; readonly reason: string }
  | { readonly kind: 'sound' }
  | { readonly kind: 'unknown'; readonly reason: string };

/** Bounds on the requests to a new version before it is known to be sound. */
export interface TrialBounds {
  /** Fraction of the service's requests. */
  readonly trialRatio: number;
  /** Further requests, over all VMs. */
  readonly trialExtra: number;
}
