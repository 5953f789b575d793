/** Size of a system under measurement. */
export interface SlopeLoad {
  readonly polledServers: number;
  /** Other entries beside the measured one. */
  readonly peers: number;
  readonly workspaces: number;
  /** Streams running through the measured entry. */
  readonly streams: number;
  /** Keyed requests sent to the measured entry, per second. */
  readonly keyedRequests: number;
}
