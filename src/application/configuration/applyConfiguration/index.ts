import { err, ok, type Result } from 'neverthrow';
import { compareConfigurations, type ConfigurationRow } from '../../../domain/configuration';
import type { TableStore } from '../../ports';
import { writeVersionRow, type WriteVersionDependencies } from '../_lib/writeVersionRow';
import { readNewestRow } from '../readNewestRow';
import { readVersionRow } from '../readVersionRow';
import type { ApplyError, ApplyRequest } from '../types';

/** Size of a random apply id, large enough that ids do not collide. */
const APPLY_ID_BYTES = 16;

/** Builds the conflict error, which lists the changes since the version that the operator saw. */
async function buildConflict(
  table: TableStore,
  expectedVersion: number,
  newest: ConfigurationRow | null,
): Promise<ApplyError> {
  const base = (await readVersionRow(table, expectedVersion)).unwrapOr(null);
  const changes =
    newest === null ? [] : compareConfigurations(base?.configuration ?? null, newest.configuration);
  return { kind: 'conflict', expectedVersion, newest, changes };
}

/**
 * Applies a whole configuration as the version after the expected one.
 *
 * The version is accepted once its row exists; there is no second step that a crash could leave
 * undone. Of two operators who expect the same version, one creates the row. The other gets
 * `conflict` with the first one's changes and has written nothing.
 *
 * @returns the accepted row, or an error; only after `unknown` the row may have been written
 */
export async function applyConfiguration(
  deps: WriteVersionDependencies,
  request: ApplyRequest,
): Promise<Result<ConfigurationRow, ApplyError>> {
  const { expectedVersion, configuration, appliedBy, comment } = request;
  const newest = await readNewestRow(deps.table);
  if (newest.isErr()) {
    return err(newest.error);
  }
  // Also refuses a version that does not exist yet: a gap would hide the versions after it.
  if ((newest.value?.version ?? 0) !== expectedVersion) {
    return err(await buildConflict(deps.table, expectedVersion, newest.value));
  }
  const row = {
    version: expectedVersion + 1,
    configuration,
    appliedAtMs: deps.clock.readWallMs(),
    appliedBy,
    comment,
    applyId: deps.randomness.readHex(APPLY_ID_BYTES),
  };
  const outcome = await writeVersionRow(deps, row);
  if (outcome.isErr()) {
    return err(outcome.error);
  }
  if (outcome.value.kind === 'written') {
    return ok(row);
  }
  const winner = await readNewestRow(deps.table);
  return winner.isErr()
    ? err(winner.error)
    : err(await buildConflict(deps.table, expectedVersion, winner.value));
}
