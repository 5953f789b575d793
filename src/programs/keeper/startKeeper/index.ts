import { err, ok, type Result } from 'neverthrow';
import { createHttpEngineClient } from '../../../adapters/engine';
import { startCallerServer } from '../../../adapters/http';
import { createDecisionLog, createEventLog, createRoarrLogger } from '../../../adapters/log';
import { createKeeperMetrics } from '../../../adapters/metrics';
import { createPlatformDispatcher } from '../../../adapters/platform-http';
import { createSystemClock, createSystemRandomness } from '../../../adapters/system';
import { createDynamoTableStore } from '../../../adapters/table';
import { createConfigurationFollower } from '../../../application/configuration';
import { createKeeper } from '../../../application/keeper';
import { createLeaseHolder } from '../../../application/lease';
import { createResilientTableStore, TABLE_POLICY } from '../../../application/store';
import { createMonitorApp } from '../_lib/createMonitorApp';
import type { KeeperOverrides, KeeperProcess, KeeperSettings, KeeperStartError } from '../types';

/** Maximum age of the latest successful read of the table at which the keeper is ready. */
const MAX_TABLE_READ_AGE_MS = 15_000;

/** The keeper reads the configuration from the table only: it cannot send orders without it. */
const NO_PEERS = { readConfiguration: async () => ok(null) };

async function wireKeeper(settings: KeeperSettings, overrides: KeeperOverrides) {
  const clock = overrides.clock ?? createSystemClock();
  const randomness = overrides.randomness ?? createSystemRandomness();
  const logger = overrides.logger ?? (await createRoarrLogger('jackdaw-keeper'));
  const log = createEventLog(logger);
  const dispatcher = createPlatformDispatcher();
  const table = createResilientTableStore(
    createDynamoTableStore(settings.table, { clock, dispatcher }),
    TABLE_POLICY,
    { clock, randomness, eventLog: log },
  );
  const configuration = createConfigurationFollower({
    table,
    peers: NO_PEERS,
    clock,
    randomness,
    log,
  });
  const { region, name: vm } = settings.vm;
  const lease = createLeaseHolder({ region, vm, table, clock, randomness, log });
  const engines = createHttpEngineClient({ clock });
  const isHolder = (): boolean => lease.readOrderToken() !== null;
  const metrics = createKeeperMetrics();
  const keeper = createKeeper({
    region,
    lease,
    configuration,
    engines,
    clock,
    decisions: createDecisionLog({ logger, onDecision: metrics.recordOrder }),
    log,
    maxLoads: settings.maxConcurrentLoads,
  });
  metrics.addGauges({
    isLeaseHolder: isHolder,
    countWaitingEngines: () => keeper.readPlan()?.waiting.length ?? 0,
    readConfigurationVersion: configuration.readVersion,
  });
  const isReady = (): boolean => {
    const readAtMs = configuration.readTableReadAtMs();
    const isFresh = readAtMs !== null && clock.readMonotonicMs() - readAtMs < MAX_TABLE_READ_AGE_MS;
    return isFresh && configuration.readCurrent() !== null;
  };
  return { log, dispatcher, configuration, lease, engines, keeper, metrics, isHolder, isReady };
}

/**
 * Starts a keeper: wires its parts and serves health, readiness and metrics.
 *
 * @param settings - settings from the settings file; port 0 binds a free port
 * @param overrides - replacements of parts, for tests and the demo
 */
export async function startKeeper(
  settings: KeeperSettings,
  overrides: KeeperOverrides = {},
): Promise<Result<KeeperProcess, KeeperStartError>> {
  const parts = await wireKeeper(settings, overrides);
  const { configuration, lease, engines, keeper, dispatcher } = parts;
  const monitor = await startCallerServer(createMonitorApp(parts), settings.monitor);
  if (monitor.isErr()) {
    await Promise.all([engines.close(), dispatcher.destroy()]);
    return err({ kind: 'cannot-listen', reason: monitor.error.reason });
  }
  configuration.start();
  lease.start();
  keeper.start();
  parts.log.info('keeper started', { vm: settings.vm.name, monitor: monitor.value.url });
  return ok({
    monitorUrl: monitor.value.url,
    isHolder: parts.isHolder,
    stop: async () => {
      // Released after the keeper stops: a running order must end while the lease is still held.
      await keeper.stop();
      await lease.stop();
      configuration.stop();
      await Promise.all([monitor.value.stop(), engines.close(), dispatcher.destroy()]);
    },
  });
}
