import type { PrefillEstimate } from '../../detection';
import { countPrefillingRuns } from '../countPrefillingRuns';
import type { ServerReport } from '../types';

/**
 * Events that a server must have sent, without any of them arriving, for its connection to count as
 * dead. Reports and events take equally long, so that one or two missing events may be in transit.
 */
const MIN_UNSEEN_EVENTS = 3;

/**
 * Factor on the estimated prefill time. Engines prefill in chunks between the tokens of other
 * requests, so that the time varies.
 */
const PREFILL_FACTOR = 1.5;

/** Highest age of a report, and the time until a run that has just started is listed. */
const REPORT_AGE_MS = 250;

/** State of the run on this VM. */
export interface RunLostOptions {
  /** True if events of this attempt have arrived; the count of events is no evidence then. */
  readonly hasArrived: boolean;
  /** Time since the server, after it got the run, first reported an empty queue. */
  readonly queueEmptyMs: number;
  readonly prefill: PrefillEstimate;
}

/**
 * Tells whether a run is certainly lost although its server still answers.
 *
 * A run is lost if the server does not list it and it can be neither queued nor in prefill (any
 * prefill would have finished by now), or if the server has sent events of which none arrived. A
 * server may lose an answer without closing the connection, which shows in no other way.
 *
 * @example
 * // The server has two runs, none in prefill and none waiting.
 * isRunLost({ waiting: 0, running: 2, eventsByRun: new Map([['a', 9], ['b', 4]]), ... }, 'c', {
 *   hasArrived: true,
 *   queueEmptyMs: 0,
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
  const prefilling = countPrefillingRuns(report);
  if (waiting > 0) return false;
  if (prefilling === 0) return true;
  // Prefill is sequential: if the run is among those in prefill, all of them finish by then.
  const dueMs = prefill.ownMs + (prefilling - 1) * prefill.usualMs;
  return queueEmptyMs > dueMs * PREFILL_FACTOR + REPORT_AGE_MS;
};
