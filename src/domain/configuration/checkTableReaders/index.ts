import { err, ok, type Result } from 'neverthrow';
import type { TableReaders } from '../types';

/** Too few VMs would learn of a change. */
export interface TooFewReaders extends TableReaders {
  readonly kind: 'too-few-readers';
}

/**
 * Checks whether a change may be accepted: at least half of the listed VMs must read the table.
 *
 * What goes wrong: more than half of the VMs lose the table, hear each other, take it to be down
 * (see `checkFreshness`) and go on, while an operator who still reaches it changes the
 * configuration. Nothing that those VMs see tells them. With this check, a change is accepted only
 * if the VMs that do not read the table are half or fewer, hence cut off.
 */
export function checkTableReaders(readers: TableReaders): Result<void, TooFewReaders> {
  return readers.vmsReading * 2 >= readers.vmsListed
    ? ok(undefined)
    : err({ kind: 'too-few-readers', ...readers });
}
