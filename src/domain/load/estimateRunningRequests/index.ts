/** What is known of the requests at one backend server. */
export interface RequestCounts {
  /** Requests that this VM has there now. */
  readonly own: number;
  /** Requests that peers last said they have there. */
  readonly peers: number;
  /** Requests of others in the newest report, with peers' changes since; null without a report. */
  readonly others: number | null;
  /** Mean of the requests of others over the last reports. */
  readonly meanOthers: number;
  /** How far the newest figures still hold, 0 to 1 (see `computeFreshness`). */
  readonly freshness: number;
}

/**
 * Estimates the requests at a backend server, running and waiting.
 *
 * Own requests are known. Those of others are as last reported while the report is fresh; requests
 * that end sooner than the next report comes are better told by their mean: taken from the newest
 * report, a burst that is long over would drive work away, and an idle moment would draw all to it.
 *
 * @returns a number of requests, 0 or more
 */
export function estimateRunningRequests(knowledge: RequestCounts): number {
  const { own, peers, others, meanOthers, freshness } = knowledge;
  if (others === null) return own + peers;
  const expected = meanOthers + (Math.max(0, others) - meanOthers) * freshness;
  return own + Math.max(expected, peers * freshness);
}
