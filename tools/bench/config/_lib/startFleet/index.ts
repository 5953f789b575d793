import type { VmRecord } from '../../../../../src/domain/types';
import type { LineLogger } from '../../../../../src/adapters/log';
import { startEntry, type Entry } from '../../../../../src/programs/entry';
import type { StandInPlatform } from '../../../../../standins/platform';
import { buildEntrySettings } from '../../../../embedded';
import { REGION, ZONES } from '../buildBenchConfiguration';
import type { VersionTracker } from '../createVersionTracker';

/** Entries that can be restarted one by one. */
export interface Fleet {
  /** Lists the callers' base URLs of all entries that run, including those not ready yet. */
  listUrls(): readonly string[];
  /** Stops an entry, as when its process dies, and starts another with the same VM name. */
  restartEntry(index: number): Promise<void>;
  stop(): Promise<void>;
}

/** Message that an entry logs when a version comes into force. */
const IN_FORCE_MESSAGE = 'configuration in force';

function createVersionLogger(vm: string, tracker: VersionTracker): LineLogger {
  return {
    info: (context, message) => {
      if (message === IN_FORCE_MESSAGE) {
        tracker.recordVersion(vm, Number(context.version));
      }
    },
    warn: () => undefined,
    error: () => undefined,
  };
}

/** Starts entries on free ports, distributed over the availability zones. */
export async function startFleet(
  platform: StandInPlatform,
  count: number,
  tracker: VersionTracker,
): Promise<Fleet> {
  const entries = new Map<number, Entry>();

  const formatVmName = (index: number): string => `entry-${index + 1}`;
  const chooseZone = (index: number): string => ZONES[index % ZONES.length] ?? '';

  const buildRecord = ([index, { peerAddress }]: readonly [number, Entry]): VmRecord => ({
    vm: formatVmName(index),
    peerAddress,
    region: REGION,
    availabilityZone: chooseZone(index),
    leaving: false,
  });
  const writeVmList = (): void => platform.vmList.setVms([...entries].map(buildRecord));

  const startFleetEntry = async (index: number): Promise<void> => {
    const vm = formatVmName(index);
    tracker.recordStart(vm);
    const place = { name: vm, region: REGION, availabilityZone: chooseZone(index) };
    const started = await startEntry(buildEntrySettings(platform, place), {
      logger: createVersionLogger(vm, tracker),
    });
    if (started.isErr()) {
      throw new Error(`${vm}: ${started.error.reason}`);
    }
    entries.set(index, started.value);
    writeVmList();
  };

  await Promise.all(Array.from({ length: count }, (_, index) => startFleetEntry(index)));
  return {
    listUrls: () => [...entries.values()].map(({ callerUrl }) => callerUrl),
    restartEntry: async (index) => {
      const entry = entries.get(index);
      entries.delete(index);
      tracker.recordStop(formatVmName(index));
      await entry?.stop();
      await startFleetEntry(index);
    },
    stop: async () => {
      await Promise.all([...entries.values()].map((entry) => entry.stop()));
    },
  };
}
