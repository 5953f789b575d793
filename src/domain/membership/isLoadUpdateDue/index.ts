import type { LoadFact } from '../types';

/** A load report as last sent to other VMs. */
export interface SentLoad {
  readonly fact: LoadFact;
  /** Monotonic time at which the report was sent, in milliseconds. */
  readonly sentAtMs: number;
}

/** Change of the running or waiting requests that is worth sending, as a fraction of the slots. */
const SIGNIFICANT_SLOT_FRACTION = 0.05;

/**
 * Tells whether a load report is due to be sent to other VMs.
 *
 * No report is due within `minIntervalMs` of the last one sent. After that, a report is due if the
 * running or waiting requests changed by at least one request and 5% of the slots, or if the last
 * one sent is older than `refreshIntervalMs`.
 *
 * @param sent - the report last sent, or null
 * @param fact - the newest report
 * @param options - `slots` of the server; `nowMs`, `minIntervalMs` and `refreshIntervalMs` in
 *   monotonic milliseconds
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
  const threshold = Math.max(1, options.slots * SIGNIFICANT_SLOT_FRACTION);
  const runningChange = Math.abs(fact.running - sent.fact.running);
  const waitingChange = Math.abs(fact.waiting - sent.fact.waiting);
  const ageMs = options.nowMs - sent.sentAtMs;
  if (ageMs < options.minIntervalMs) return false;
  const isOld = ageMs >= options.refreshIntervalMs;
  return isOld || runningChange >= threshold || waitingChange >= threshold;
};
