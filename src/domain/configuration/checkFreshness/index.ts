import { err, ok, type Result } from 'neverthrow';
import type { FreshnessEvidence } from '../types';

/**
 * Oldest table read on which a VM may rely without further evidence, in milliseconds.
 *
 * Polls come once a second, so four may be lost; a change must be in force within 5 s.
 */
export const FRESHNESS_LIMIT_MS = 5_000;

/** Why a VM may rely on its configuration: a VM in reach reads the table, or no VM can. */
export type Freshness = 'fresh' | 'store-down';

/** The VM may be missing accepted changes and must take no new work. */
export interface CutOff extends FreshnessEvidence {
  readonly kind: 'cut-off';
}

/**
 * Checks whether a VM may go on with the configuration that it holds.
 *
 * What goes wrong: a VM on the far side of a partition misses a change that the table accepted, and
 * runs work where it is no longer allowed. It notices by the age of the newest table read that it
 * knows of. Old age alone may also mean that the table is down for all; then nothing can have been
 * accepted, and stopping would only lose requests. Hearing more than half of the VMs tells the two
 * apart, since no change is accepted while fewer than half read the table (`checkTableReaders`).
 * Exactly half is not enough: the other half may be the one that reads the table.
 *
 * A VM that has known of a higher version for longer than the limit without getting it is cut off
 * as well, whatever it hears.
 *
 * @returns why it may go on, or the evidence on which it is cut off
 */
export function checkFreshness(evidence: FreshnessEvidence): Result<Freshness, CutOff> {
  const { newestReadAgeMs, vmsHeard, vmsRegistered, behindMs } = evidence;
  if (behindMs > FRESHNESS_LIMIT_MS) {
    return err({ kind: 'cut-off', ...evidence });
  }
  if (newestReadAgeMs !== null && newestReadAgeMs <= FRESHNESS_LIMIT_MS) {
    return ok('fresh');
  }
  return vmsHeard * 2 > vmsRegistered ? ok('store-down') : err({ kind: 'cut-off', ...evidence });
}
