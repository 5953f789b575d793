import { err, ok, type Result } from 'neverthrow';
import type { TableReaders } from '../types';

/** Too few VMs read the table to accept a change. */
export interface TooFewReaders extends TableReaders {
  readonly kind: 'too-few-readers';
}

/**
 * Checks whether a change may be accepted: at least half of the listed VMs must read the table.
 *
 * Without this check, more than half of the VMs could lose contact with the table but not with each
 * other, assume that the table is down (see `checkFreshness`) and continue, while an operator who
 * still reaches the table changes the configuration. Those VMs cannot detect the change. With the
 * check, at most half of the VMs do not read the table when a change is accepted, and these are cut
 * off.
 */
export function checkTableReaders(readers: TableReaders): Result<void, TooFewReaders> {
  return readers.vmsReading * 2 >= readers.vmsListed
    ? ok(undefined)
    : err({ kind: 'too-few-readers', ...readers });
}
