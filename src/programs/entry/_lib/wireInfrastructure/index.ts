import { createDecisionLog, createEventLog, createRoarrLogger } from '../../../../adapters/log';
import { createEntryMetrics } from '../../../../adapters/metrics';
import { createSystemClock, createSystemRandomness } from '../../../../adapters/system';
import { createHealthRegistry } from '../../../../application/health';
import { createLoadView } from '../../../../application/routing';
import { createShutdown } from '../../../../application/shutdown';
import type { EntryOverrides, EntrySettings } from '../../types';
import { wireStores } from '../wireStores';

/** Wires the parts of an entry that need no address of their own. */
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

/** The parts of an entry that need no address of their own. */
export type EntryInfrastructure = Awaited<ReturnType<typeof wireInfrastructure>>;
