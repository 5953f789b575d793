/** Size that is varied while all others stay constant. */
export const SlopeAxis = {
  /** Backend servers that a single entry polls. */
  PolledServers: 'polledServers',
  Peers: 'peers',
  Workspaces: 'workspaces',
  Streams: 'streams',
  /** Keyed requests per second; each writes claim rows. */
  KeyedRequests: 'keyedRequests',
} as const;

/** One of the axes. */
export type SlopeAxis = (typeof SlopeAxis)[keyof typeof SlopeAxis];
