import type { Configuration } from '../../../../../src/domain/types';
import { createStandInPlatform } from '../../../../../standins/platform';
import {
  applyToPlatform,
  buildEntrySettings,
  startBackends,
  startEntryProcess,
  waitUntilReady,
  type Backends,
  type EntryProcess,
} from '../../../../embedded';

/** A system with engines and platform in this process and entries as separate processes. */
export interface BenchSystem {
  readonly backends: Backends;
  listEntries(): readonly EntryProcess[];
  /** Kills the entries of a zone; resolves when all have exited. */
  killEntries(availabilityZone: string): Promise<void>;
  /** Starts new entries in place of those that were killed. */
  replaceEntries(): Promise<void>;
  stop(): Promise<void>;
}

/** Engine times of the goal: first token after 50 ms, gaps of 10 ms. */
const ENGINE_TIMES = { firstTokenMs: 50, gapMs: 10 };

/** Starts the bench's system with one entry in each availability zone. */
export async function startBenchSystem(configuration: Configuration): Promise<BenchSystem> {
  const platform = await createStandInPlatform();
  const backends = await startBackends(configuration, ENGINE_TIMES);
  const [place] = configuration.places;
  const region = place?.region ?? '';
  const zones = place?.availabilityZones ?? [];
  let entries: readonly EntryProcess[] = [];
  let started = 0;

  const startEntry = async (availabilityZone: string): Promise<EntryProcess> => {
    started += 1;
    const vm = { name: `entry-${started}`, region, availabilityZone };
    const entry = await startEntryProcess(buildEntrySettings(platform, vm));
    await waitUntilReady(entry.url);
    return entry;
  };
  const updateVmList = () =>
    platform.vmList.setVms([
      ...entries.map(({ vm, peerAddress, availabilityZone }) => ({
        vm,
        peerAddress,
        region,
        availabilityZone,
        leaving: false,
      })),
      ...backends.configuration.backendServers.map(({ name, availabilityZone }) => ({
        vm: name,
        peerAddress: '',
        region,
        availabilityZone,
        leaving: false,
      })),
    ]);
  const replaceEntries = async () => {
    const missing = zones.filter((zone) => !entries.some((one) => one.availabilityZone === zone));
    entries = [...entries, ...(await Promise.all(missing.map(startEntry)))];
    updateVmList();
  };
  const operator = { name: 'operator', region, availabilityZone: '' };
  await applyToPlatform(buildEntrySettings(platform, operator), backends.configuration);
  await replaceEntries();
  return {
    backends,
    listEntries: () => entries,
    killEntries: async (availabilityZone) => {
      const lost = entries.filter((entry) => entry.availabilityZone === availabilityZone);
      entries = entries.filter((entry) => !lost.includes(entry));
      await Promise.all(lost.map((entry) => entry.kill()));
    },
    replaceEntries,
    stop: async () => {
      await Promise.all(entries.map((entry) => entry.stop()));
      await backends.stop();
      await platform.close();
    },
  };
}
