import type { ForwardingLimits } from './ForwardingLimits';
import type { ForwardedService } from './ForwardedService';
import type { Route } from './Route';

/** Holder of an API key. */
export interface KeyHolder {
  readonly workspace: string;
  /** Overrides the priority of the route; null if the workspace has none. */
  readonly priority: number | null;
}

/** One version of the forwarding configuration. */
export interface RouteTable {
  /** Version of the configuration; increases with each change. */
  readonly version: number;
  /** Routes by lower-case host, longest prefix first. */
  readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
  readonly services: ReadonlyMap<string, ForwardedService>;
  readonly limits: ForwardingLimits;
  /** Holders by API key; null if requests need no key. */
  readonly holdersByKey: ReadonlyMap<string, KeyHolder> | null;
}
