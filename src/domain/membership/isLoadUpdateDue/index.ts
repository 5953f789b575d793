import type { LoadFact } from '../types';

/** A load fact as last passed on. */
export interface SentLoad {
  readonly fact: LoadFact;
  /** Monotonic time at which it was passed on, in milliseconds. */
  readonly sentAtMs: number;
}

const MATERIAL_PART = 0.05;

/**
 * Tells whether a load report is worth passing on: the last one passed on is older than `leastMs`,
 * and the load changed by at least one request and 5% of the slots, or it is older than `refreshMs`.
 *
 * @param sent - what was passed on last, or null
 * @param fact - the newest
 * @param options - `slots` of the server; `nowMs`, `leastMs` and `refreshMs` in monotonic
 *   milliseconds
 */
export const isLoadUpdateDue = (
  sent: SentLoad | null,
  fact: LoadFact,
  options: {
    readonly slots: number;
    readonly nowMs: number;
    readonly minIntervalMs: number;
    readonly refreshIntervalMs: number;
  },
): boolean => {
  if (sent === null) return true;
  if (sent.fact.sequence === fact.sequence) return false;
  const threshold = Math.max(1, options.slots * MATERIAL_PART);
  const runningChange = Math.abs(fact.running - sent.fact.running);
  const waitingChange = Math.abs(fact.waiting - sent.fact.waiting);
  const ageMs = options.nowMs - sent.sentAtMs;
  if (ageMs < options.minIntervalMs) return false;
  const isOld = ageMs >= options.refreshIntervalMs;
  return isOld || runningChange >= threshold || waitingChange >= threshold;
};
