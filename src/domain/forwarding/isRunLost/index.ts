import type { PrefillEstimate } from '../../detection';
import { countPrefillingRuns } from '../countPrefillingRuns';
import type { ServerReport } from '../types';

/**
 * Events that a server must have made, while none of them arrived, for its connection to count as
 * dead: a report is late, but so would be these events by no more than the way of one packet.
 */
const MIN_UNSEEN_EVENTS = 3;

/**
 * Time that prompts are given beyond the estimate: they are read in chunks between the tokens of
 * other requests, which vary.
 */
const READING_FACTOR = 1.5;

/** Age that a report may have, and time in which a run that has just begun is not listed yet. */
const REPORT_AGE_MS = 250;

/** What is known of the run here. */
export interface RunLostOptions {
  /** True: events of this attempt have arrived, so that their number tells nothing. */
  readonly hasArrived: boolean;
  /** How long ago the server said first, since it got the run, that none waits there. */
  readonly queueEmptyMs: number;
  readonly prefill: PrefillEstimate;
}

/**
 * Tells whether a run is surely lost to its reader, although its server answers: the server has no
 * run of it any more, and reads no prompt that could be it, or has read some for too long; or it has
 * made events of which none arrived.
 *
 * A server may lose an answer without closing the connection; nothing else tells.
 *
 * @example
 * // It has two runs, reads no prompt, and has none waiting.
 * isRunLost({ waiting: 0, running: 2, eventsByRun: new Map([['a', 9], ['b', 4]]), ... }, 'c', {
 *   hasArrived: true,
 *   unqueuedMs: 0,
 *   prefill: { ownMs: 1000, usualMs: 1100 },
 * }); // true
 */
export const isRunLost = (
  report: ServerReport,
  requestId: string,
  { hasArrived, prefill, queueEmptyMs }: RunLostOptions,
): boolean => {
  const { eventsByRun, waiting } = report;
  if (eventsByRun === null) return false;
  const events = eventsByRun.get(requestId);
  if (events !== undefined) return !hasArrived && events >= MIN_UNSEEN_EVENTS;
  const reading = countPrefillingRuns(report);
  if (waiting > 0) return false;
  if (reading === 0) return true;
  // If it is among those that are read, they are through by then: prompts are read one by one.
  const dueMs = prefill.ownMs + (reading - 1) * prefill.usualMs;
  return queueEmptyMs > dueMs * READING_FACTOR + REPORT_AGE_MS;
};
