import type { LineLogger } from '../../../src/adapters/log';
import type { BackendServer, Configuration, VmRecord } from '../../../src/domain/types';
import { startEntry } from '../../../src/programs/entry';
import type { EntrySettings } from '../../../src/programs/entry/types';
import type { EngineSettings } from '../../../standins/engine';
import { createStandInPlatform, type StandInPlatform } from '../../../standins/platform';
import { createBackgroundClock } from '../_lib/createBackgroundClock';
import { applyToPlatform } from '../applyToPlatform';
import { buildEntrySettings } from '../buildEntrySettings';
import { startBackends } from '../startBackends';
import type { EmbeddedEntry, EmbeddedSystem } from '../types';
import { waitUntilReady } from '../waitUntilReady';

/** Options of an embedded system. */
export interface EmbeddedSystemOptions {
  /** The URLs of its backend servers are replaced by those of the stand-ins. */
  readonly configuration: Configuration;
  /** Availability zone of each entry. */
  readonly entryZones: readonly string[];
  readonly engineSettings?: Partial<EngineSettings>;
  /** Receives the entries' log lines; by default they are discarded. */
  readonly logger?: LineLogger;
}

const SILENT_LOGGER: LineLogger = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

async function startEmbeddedEntry(
  platform: StandInPlatform,
  vm: EntrySettings['vm'],
  logger: LineLogger,
): Promise<EmbeddedEntry> {
  const started = await startEntry(buildEntrySettings(platform, vm), {
    logger,
    clock: createBackgroundClock(),
  });
  if (started.isErr()) throw new Error(`${vm.name}: ${started.error.reason}`);
  const { callerUrl, peerAddress, stop } = started.value;
  return { vm: vm.name, availabilityZone: vm.availabilityZone, url: callerUrl, peerAddress, stop };
}

const buildBackendVm = (server: BackendServer): VmRecord => ({
  vm: server.name,
  peerAddress: '',
  region: server.region,
  availabilityZone: server.availabilityZone,
  leaving: false,
});

/**
 * Starts a platform, a stand-in for each backend server, and entries, all in this process.
 *
 * @returns the system, with its configuration in force at every entry
 */
export async function startEmbeddedSystem(options: EmbeddedSystemOptions): Promise<EmbeddedSystem> {
  const platform = await createStandInPlatform();
  const backends = await startBackends(options.configuration, options.engineSettings);
  const { configuration } = backends;
  const region = configuration.places[0]?.region ?? '';
  const vms = options.entryZones.map((availabilityZone, index) => ({
    name: `entry-${index + 1}`,
    region,
    availabilityZone,
  }));
  await applyToPlatform(
    buildEntrySettings(platform, { name: 'operator', region, availabilityZone: '' }),
    configuration,
  );
  const entries = await Promise.all(
    vms.map((vm) => startEmbeddedEntry(platform, vm, options.logger ?? SILENT_LOGGER)),
  );
  platform.vmList.setVms([
    ...entries.map(({ vm, peerAddress, availabilityZone }) => ({
      vm,
      peerAddress,
      region,
      availabilityZone,
      leaving: false,
    })),
    ...configuration.backendServers.map(buildBackendVm),
  ]);
  await Promise.all(entries.map(({ url }) => waitUntilReady(url)));
  return {
    platform,
    backends,
    entries,
    stop: async () => {
      await Promise.all(entries.map((entry) => entry.stop()));
      await backends.stop();
      await platform.close();
    },
  };
}
