/** What is known of the requests at one backend server. */
export interface RunningKnowledge {
  /** Running and waiting requests of the newest report; null without a report. */
  readonly reported: number | null;
  /** Sends minus ends, own and peers', noticed since the report was sampled. */
  readonly changeSince: number;
  /** Requests that this VM has there. */
  readonly own: number;
  /** Requests that peers last said they have there. */
  readonly peers: number;
}

/**
 * Estimates the requests at a backend server, running and waiting.
 *
 * The late report is corrected by what changed since. It cannot be fewer than this VM and its peers
 * know to be there.
 *
 * @returns a number of requests, 0 or more
 */
export function estimateRunning(knowledge: RunningKnowledge): number {
  const known = knowledge.own + knowledge.peers;
  if (knowledge.reported === null) return known;
  return Math.max(known, knowledge.reported + knowledge.changeSince, 0);
}
