import { createDecisionLog, createEventLog, createRoarrLogger } from '../../../../adapters/log';
import { createEntryMetrics } from '../../../../adapters/metrics';
import { createSystemClock, createSystemRandomness } from '../../../../adapters/system';
import { createHealthRegistry } from '../../../../application/health';
import { createLoadView } from '../../../../application/routing';
import { createShutdown } from '../../../../application/shutdown';
import type { EntryOverrides, EntrySettings } from '../../types';
import { wireStores } from '../wireStores';

/** Wires the parts of an entry that do not depend on its peer address. */
export const wireInfrastructure = async (settings: EntrySettings, overrides: EntryOverrides) => {
  const clock = overrides.clock ?? createSystemClock();
  const randomness = overrides.randomness ?? createSystemRandomness();
  const logger = overrides.logger ?? (await createRoarrLogger('jackdaw-entry'));
  const log = createEventLog(logger);
  const metrics = createEntryMetrics();
  return {
    clock,
    randomness,
    log,
    metrics,
    decisions: createDecisionLog({ logger, onDecision: metrics.recordDecision }),
    stores: wireStores(settings, { clock, randomness, eventLog: log }),
    health: createHealthRegistry({ vm: settings.vm.name }),
    load: createLoadView({ clock }),
    shutdown: createShutdown({ clock }),
  };
};

/** Parts of an entry that do not depend on its peer address. */
export type EntryInfrastructure = Awaited<ReturnType<typeof wireInfrastructure>>;
