import { err, ok, type Result } from 'neverthrow';
import type { FreshnessEvidence } from '../types';

/**
 * Maximum age of a table read on which a VM may rely without further evidence, in milliseconds.
 *
 * The table is polled once per second, so four polls may be lost. A change must be in force within
 * 5 s.
 */
export const FRESHNESS_LIMIT_MS = 5_000;

/** Why a VM may rely on its configuration: a reachable VM reads the table, or no VM can. */
export type Freshness = 'fresh' | 'store-down';

/** The VM may have missed accepted changes and must not accept new work. */
export interface CutOff extends FreshnessEvidence {
  readonly kind: 'cut-off';
}

/**
 * Checks whether a VM may continue to serve under its current configuration.
 *
 * A VM that a partition separates from the table misses accepted changes and could run work where
 * it is no longer allowed. The VM detects this by the age of the newest table read that it knows
 * of. An old read may also mean that the table is down for all VMs. No change can be accepted then,
 * and stopping would only lose requests. Contact with more than half of the VMs distinguishes the
 * two cases, since no change is accepted while fewer than half read the table
 * (`checkTableReaders`). Exactly half is not enough: the other half may be the one that reads the
 * table.
 *
 * A VM that has known of a higher version for longer than the limit without receiving it is also
 * cut off, regardless of the other evidence.
 *
 * @returns why the VM may continue, or the evidence for which it is cut off
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
