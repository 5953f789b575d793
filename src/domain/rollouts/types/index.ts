/** Where a roll-out stands. */
export const RolloutState = {
  /** A small part of the requests tries the new version. */
  InProgress: 'in-progress',
  /** All new requests go to the new version; what runs at the old servers may end. */
  Switching: 'switching',
  /** The old servers are stopped. */
  Completed: 'completed',
  /** Nothing is sent to the new version any more. */
  Reverted: 'reverted',
} as const;

export type RolloutState = (typeof RolloutState)[keyof typeof RolloutState];

/** An operator's order to move a service to another version of its servers. */
export interface RolloutOrder {
  readonly service: string;
  /** Version that the service is to move to. */
  readonly to: string;
  readonly durationMs: number;
  /** Grows with each order; a repeated order is a new one. */
  readonly sequence: number;
}

/** What is known of an order's outcome. */
export interface RolloutVerdict {
  readonly service: string;
  readonly to: string;
  readonly sequence: number;
  readonly state: RolloutState;
  /** True: the shared store holds it, so that it is final. */
  readonly isStored: boolean;
}

/** How requests fared at servers of one version; only ever added to. */
export interface VersionTally {
  readonly requests: number;
  /** Of these, failed or far slower than usual. */
  readonly poor: number;
}

/** Both versions on one route, over the same time. */
export interface RouteTally {
  readonly established: VersionTally;
  readonly candidate: VersionTally;
}

/** By route. */
export type RolloutTallies = ReadonlyMap<string, RouteTally>;

/** What is believed of a new version. */
export type VersionJudgement =
  | { readonly kind: 'bad'; readonly route: string; readonly reason: string }
  | { readonly kind: 'sound' }
  | { readonly kind: 'unknown'; readonly reason: string };

/** Bounds on requests that reach a new version before it is known to be sound. */
export interface TrialBounds {
  /** Part of the service's requests. */
  readonly trialRatio: number;
  /** Requests on top, over all VMs. */
  readonly trialExtra: number;
}
