import { err, ok, type Result } from 'neverthrow';
import {
  encodeConfigurationRow,
  formatVersionKey,
  type ConfigurationRow,
} from '../../../../domain/configuration';
import type { Clock, Randomness, TableStore } from '../../../ports';
import { waitDelay } from '../../../time';
import { CONFIGURATION_PARTITION } from '../../partition';
import { readVersionRow } from '../../readVersionRow';
import type { ApplyError } from '../../types';

/** What a write needs. */
export interface WriteVersionDependencies {
  readonly table: TableStore;
  readonly clock: Clock;
  readonly randomness: Randomness;
}

/** How a write of a version's row ended. */
export type WriteOutcome =
  | { readonly kind: 'written' }
  /** The version is another's. */
  | { readonly kind: 'taken' };

/** The table takes items of 400 KB with keys and attribute names (limit of DynamoDB). */
const MAX_BODY_BYTES = 390_000;
/** Attempts to find out what became of the write, for about six seconds. */
const MAX_ATTEMPTS = 6;
const FIRST_PAUSE_MS = 100;

function waitPause(deps: WriteVersionDependencies, attempt: number): Promise<void> {
  const pauseMs = FIRST_PAUSE_MS * 2 ** attempt * (0.5 + deps.randomness.readFraction());
  return waitDelay(deps.clock, pauseMs);
}

/** Tells by reading back whose the version is; null while that is not known. */
async function readOwner(
  deps: WriteVersionDependencies,
  row: ConfigurationRow,
): Promise<WriteOutcome | null> {
  const read = await readVersionRow(deps.table, row.version);
  if (read.isErr()) {
    // A malformed row under this version is surely not ours.
    return read.error.kind === 'bad-configuration' ? { kind: 'taken' } : null;
  }
  if (read.value === null) {
    return null;
  }
  return { kind: read.value.applyId === row.applyId ? 'written' : 'taken' };
}

/**
 * Writes a version's row if it does not exist.
 *
 * What goes wrong: the answer to the write is lost after it took effect, so that a repeat finds the
 * row present. The apply id in the row tells our own write from another's. Sending the same row
 * again is harmless, since it takes effect only if the version is still free.
 */
export async function writeVersionRow(
  deps: WriteVersionDependencies,
  row: ConfigurationRow,
): Promise<Result<WriteOutcome, ApplyError>> {
  const body = encodeConfigurationRow(row);
  if (Buffer.byteLength(body) > MAX_BODY_BYTES) {
    const bytes = Buffer.byteLength(body);
    return err({ kind: 'too-large', bytes, limitBytes: MAX_BODY_BYTES });
  }
  const item = {
    partition: CONFIGURATION_PARTITION,
    sort: formatVersionKey(row.version),
    revision: row.version,
    body,
    expiresAtS: 0,
  };
  let mayBeWritten = false;
  let reason = '';
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const written = await deps.table.writeItem(item, { kind: 'absent' });
    if (written.isOk()) {
      return ok({ kind: 'written' });
    }
    if (written.error.kind === 'invalid') {
      return err({ kind: 'unavailable', reason: written.error.reason });
    }
    if (written.error.kind === 'ambiguous' || written.error.kind === 'condition-failed') {
      mayBeWritten = true;
      const owner = await readOwner(deps, row);
      if (owner !== null) {
        return ok(owner);
      }
    }
    reason = written.error.kind === 'condition-failed' ? 'cannot read back' : written.error.reason;
    await waitPause(deps, attempt);
  }
  const { version, applyId } = row;
  return err(
    mayBeWritten ? { kind: 'unknown', version, applyId, reason } : { kind: 'unavailable', reason },
  );
}
