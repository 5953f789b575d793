/** Size of a system under measurement. */
export interface SlopeLoad {
  readonly polledServers: number;
  /** Number of entries in addition to the measured one. */
  readonly peers: number;
  readonly workspaces: number;
  /** Streams running through the measured entry. */
  readonly streams: number;
  /** Keyed requests sent to the measured entry, per second. */
  readonly keyedRequests: number;
}
