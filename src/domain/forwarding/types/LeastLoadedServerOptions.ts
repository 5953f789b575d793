/** Exclusions and preferences for the server of one attempt. */
export interface LeastLoadedServerOptions {
  /** Ids of servers that already failed this request. */
  readonly excludedIds: ReadonlySet<string>;
  /** Availability zone to avoid as long as another one has a server; null for none. */
  readonly avoidedZone: string | null;
  /** Availability zone that is preferred among nearly equal servers; null for none. */
  readonly preferredZone: string | null;
  /**
   * Random number, from 0 inclusive to 1 exclusive. VMs that hold the same outdated load reports
   * must not all choose the same server.
   */
  readonly draw: number;
}
