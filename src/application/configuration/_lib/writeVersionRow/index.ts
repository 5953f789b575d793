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

/** Dependencies of a write. */
export interface WriteVersionDependencies {
  readonly table: TableStore;
  readonly clock: Clock;
  readonly randomness: Randomness;
}

/** Outcome of writing the row of a version. */
export type WriteOutcome =
  | { readonly kind: 'written' }
  /** Another writer holds the version. */
  | { readonly kind: 'taken' };

/** Stays below DynamoDB's limit of 400 KB an item, which includes keys and attribute names. */
const MAX_BODY_BYTES = 390_000;
/** Attempts to write and to resolve the outcome; with the pauses they take about six seconds. */
const MAX_ATTEMPTS = 6;
const FIRST_PAUSE_MS = 100;

function waitPause(deps: WriteVersionDependencies, attempt: number): Promise<void> {
  const pauseMs = FIRST_PAUSE_MS * 2 ** attempt * (0.5 + deps.randomness.readFraction());
  return waitDelay(deps.clock, pauseMs);
}

/** Reads the version back to find out who wrote it; null if that stays unknown. */
async function readOwner(
  deps: WriteVersionDependencies,
  row: ConfigurationRow,
): Promise<WriteOutcome | null> {
  const read = await readVersionRow(deps.table, row.version);
  if (read.isErr()) {
    // A malformed row at this version cannot be this writer's.
    return read.error.kind === 'bad-configuration' ? { kind: 'taken' } : null;
  }
  if (read.value === null) {
    return null;
  }
  return { kind: read.value.applyId === row.applyId ? 'written' : 'taken' };
}

/**
 * Writes the row of a version if it does not exist.
 *
 * The response can be lost after the write took effect, so that a retry finds the row present. The
 * apply id in the row distinguishes this writer's row from another's. The retry is idempotent,
 * since it takes effect only if the version is still free.
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
    reason =
      written.error.kind === 'condition-failed'
        ? 'the row could not be read back'
        : written.error.reason;
    await waitPause(deps, attempt);
  }
  const { version, applyId } = row;
  return err(
    mayBeWritten ? { kind: 'unknown', version, applyId, reason } : { kind: 'unavailable', reason },
  );
}
