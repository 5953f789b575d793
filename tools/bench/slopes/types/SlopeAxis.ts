/** What is varied while the rest stays as it is. */
export const SlopeAxis = {
  /** Back ends that a lone entry polls by itself. */
  PolledServers: 'polledServers',
  Peers: 'peers',
  Workspaces: 'workspaces',
  Streams: 'streams',
  /** Keyed requests a second: each writes claim rows. */
  KeyedRequests: 'keyedRequests',
} as const;

/** One of the axes. */
export type SlopeAxis = (typeof SlopeAxis)[keyof typeof SlopeAxis];
