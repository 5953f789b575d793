import type { AttemptEnd, ConnectionEnd } from '../types';

/** What the end of an attempt says of its request. */
export type EndVerdict =
  /** The server answered, and did not crash under the request. */
  | 'answer'
  /** The server may have crashed: counts at once, until a check of the server says otherwise. */
  | 'suspect'
  /** The server may have crashed, but seldom has: counts only if a check confirms it. */
  | 'check'
  /** The server may have crashed, as others do by themselves: counts only in comparison with other runs. */
  | 'late'
  | 'none';

/** A request that crashes its server does so at the start of its run, even on a slow server. */
const EARLY_MS = 1000;

/** A caller that leaves sooner says nothing of the server. */
const MIN_SILENCE_MS = 100;

/** True if the server had not sent an event, or was last heard of soon after it began to run. */
const hasEndedEarly = (
  { beganAtMs, progress }: Pick<AttemptEnd, 'beganAtMs' | 'progress'>,
  untilMs: number,
): boolean => progress === 'none' || progress === 'head' || untilMs - beganAtMs <= EARLY_MS;

const JUDGES: Readonly<Record<ConnectionEnd, (end: AttemptEnd) => EndVerdict>> = {
  complete: () => 'answer',
  closed: (end) => {
    if (!hasEndedEarly(end, end.endedAtMs)) return end.progress === 'whole' ? 'none' : 'late';
    // A response without framing ends like this both if it is complete and if its server crashed.
    return end.progress === 'whole' ? 'check' : 'suspect';
  },
  reset: (end) => (hasEndedEarly(end, end.endedAtMs) ? 'suspect' : 'late'),
  silent: (end) => (hasEndedEarly(end, end.heardSinceMs) ? 'check' : 'late'),
  dropped: ({ beganAtMs, endedAtMs, progress }) =>
    progress === 'none' && endedAtMs - beganAtMs >= MIN_SILENCE_MS ? 'check' : 'none',
  'out-of-step': () => 'none',
  unsent: () => 'none',
  unseen: (end) => (hasEndedEarly(end, end.endedAtMs) ? 'check' : 'late'),
};

/**
 * Judges what the end of an attempt says of its request, whichever way the request reached the
 * server.
 *
 * @param end - as seen by the VM that held the connection to the server
 *
 * @example
 * judgeAttemptEnd({ connection: 'reset', relay: null, progress: 'none', beganAtMs: 0, heardSinceMs: 0, endedAtMs: 40 }); // => 'suspect'
 */
export const judgeAttemptEnd = (end: AttemptEnd): EndVerdict => JUDGES[end.connection](end);
