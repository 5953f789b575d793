import { createPlatformDispatcher } from '../../../src/adapters/platform-http';
import { createSystemClock, createSystemRandomness } from '../../../src/adapters/system';
import { createDynamoTableStore } from '../../../src/adapters/table';
import { applyConfiguration } from '../../../src/application/configuration';
import type { Configuration } from '../../../src/domain/types';
import type { EntrySettings } from '../../../src/programs/entry/types';

/** Long, since several systems may start in one busy process. */
const APPLY_DEADLINE_MS = 20_000;

/**
 * Applies a configuration as `jackdaw apply` does.
 *
 * @param expectedVersion - version that the configuration replaces; 0 for the first
 * @returns the new version
 * @throws Error if the configuration was not accepted
 */
export async function applyToPlatform(
  settings: Pick<EntrySettings, 'table'>,
  configuration: Configuration,
  expectedVersion = 0,
): Promise<number> {
  const clock = createSystemClock();
  const dispatcher = createPlatformDispatcher();
  const table = createDynamoTableStore(
    { ...settings.table, deadlineMs: APPLY_DEADLINE_MS },
    { clock, dispatcher },
  );
  const applied = await applyConfiguration(
    { table, clock, randomness: createSystemRandomness() },
    { configuration, expectedVersion, appliedBy: 'embedded', comment: '' },
  );
  await dispatcher.close();
  if (applied.isErr()) throw new Error(`configuration not accepted: ${applied.error.kind}`);
  return applied.value.version;
}
