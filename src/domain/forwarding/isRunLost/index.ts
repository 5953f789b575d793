import type { ServerReport } from '../types';

/**
 * Events that a server must have made, while none of them arrived, for its connection to count as
 * dead: a report is late, but so would be these events by no more than the way of one packet.
 */
const MIN_UNSEEN_EVENTS = 3;

/** What is known of the run here. */
export interface RunLostOptions {
  /** True: events of this attempt have arrived, so that their number tells nothing. */
  readonly hasArrived: boolean;
  /** How long nothing of it has arrived. */
  readonly silentMs: number;
  /** How long a prompt of its length usually takes to read; infinite if that is not known. */
  readonly prefillMs: number;
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
 *   silentMs: 400,
 *   prefillMs: 1100,
 * }); // true
 */
export const isRunLost = (
  { eventsByRun, running, waiting }: ServerReport,
  requestId: string,
  { hasArrived, prefillMs, silentMs }: RunLostOptions,
): boolean => {
  if (eventsByRun === null) return false;
  const events = eventsByRun.get(requestId);
  if (events !== undefined) return !hasArrived && events >= MIN_UNSEEN_EVENTS;
  const reading = running - eventsByRun.size;
  // Prompts are read one after the other: those that are read now are through by then.
  const isOverdue = silentMs > (reading + 1) * prefillMs;
  return waiting === 0 && (reading <= 0 || isOverdue);
};
