/** Observed requests on one backend server. */
export interface RequestCounts {
  /** Requests of this VM. */
  readonly own: number;
  /** Requests that other VMs last reported as theirs. */
  readonly peers: number;
  /**
   * Requests of other VMs in the server's latest report, updated by their changes; null without
   * one.
   */
  readonly others: number | null;
  /** Mean of the requests of other VMs over the last reports. */
  readonly meanOthers: number;
  /** Freshness of the latest values, 0 to 1 (see `computeFreshness`). */
  readonly freshness: number;
}

/**
 * Estimates the number of requests on a backend server, running and waiting.
 *
 * The requests of this VM are known. Those of other VMs are taken from the latest report while it
 * is fresh, and from their mean otherwise. Requests may end before the next report comes: with the
 * latest report alone, a burst that is over would repel work, and an idle moment would attract all
 * of it.
 *
 * @returns number of requests, 0 or more
 */
export function estimateRunningRequests(counts: RequestCounts): number {
  const { own, peers, others, meanOthers, freshness } = counts;
  if (others === null) return own + peers;
  const expected = meanOthers + (Math.max(0, others) - meanOthers) * freshness;
  return own + Math.max(expected, peers * freshness);
}
