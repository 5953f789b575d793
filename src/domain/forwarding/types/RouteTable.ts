import type { ForwardingLimits } from './ForwardingLimits';
import type { ForwardedService } from './ForwardedService';
import type { Route } from './Route';

/** Holder of a key. */
export interface KeyHolder {
  readonly workspace: string;
  /** Goes before the route's priority; null if the workspace has none. */
  readonly priority: number | null;
}

/** One version of the configuration that requests are forwarded by. */
export interface RouteTable {
  /** Grows with each change. */
  readonly version: number;
  /** Routes by lower-case host, the longest prefix first. */
  readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
  readonly services: ReadonlyMap<string, ForwardedService>;
  readonly limits: ForwardingLimits;
  /** Null: requests need no key. */
  readonly holdersByKey: ReadonlyMap<string, KeyHolder> | null;
}
