import { computeKeyDigest } from '../../../../src/domain/access';
import { buildSampleConfiguration } from '../../../../standins/fakes';
import { createStandInPlatform } from '../../../../standins/platform';
import {
  applyToPlatform,
  buildEntrySettings,
  startBackends,
  startEntryProcess,
  waitUntilReady,
} from '../../../embedded';
import { readProcessUsage } from '../../slopes/_lib/readProcessUsage';
import { measureRound, type RelayLoad, type RoundReport } from '../_lib/measureRound';

/** Figures of one run; the rounds at the engine and through the entry ran in succession. */
export interface RelayReport extends RelayLoad {
  readonly direct: RoundReport;
  readonly entry: RoundReport & {
    readonly cpuUsPerToken: number;
    readonly residentMb: number;
  };
}

const KEY = 'relay-bench-key';

/** More than any round needs, so that admission control does not limit the streams. */
const SLOTS = 2000;

const BYTES_PER_MB = 1_048_576;

const US_PER_S = 1_000_000;

const buildConfiguration = () => {
  const sample = buildSampleConfiguration();
  return buildSampleConfiguration({
    backendServers: sample.backendServers.map((server) => ({ ...server, slots: SLOTS })),
    workspaces: sample.workspaces.map((workspace) => ({
      ...workspace,
      keyDigests: [computeKeyDigest(KEY)],
    })),
    limits: { ...sample.limits, maxQueuedLong: SLOTS },
  });
};

/** Runs a warm-up round, then a measured round directly at the engine and one through an entry. */
export const runRelayBench = async (load: RelayLoad): Promise<RelayReport> => {
  const platform = await createStandInPlatform();
  const backends = await startBackends(buildConfiguration(), {
    gapMs: load.gapMs,
    queueLimit: SLOTS,
  });
  const settings = buildEntrySettings(platform, {
    name: 'entry-1',
    region: 'r',
    availabilityZone: 'z1',
  });
  await applyToPlatform(settings, backends.configuration);
  const entry = await startEntryProcess(settings);
  try {
    await waitUntilReady(entry.url);
    const engineUrl = backends.configuration.backendServers[0]?.url ?? '';
    await measureRound({ url: entry.url, key: KEY }, load);
    const direct = await measureRound({ url: engineUrl, key: KEY }, load);
    const before = await readProcessUsage(entry.url);
    const relayed = await measureRound({ url: entry.url, key: KEY }, load);
    const after = await readProcessUsage(entry.url);
    const cpuS = after.cpuS - before.cpuS;
    return {
      ...load,
      direct,
      entry: {
        ...relayed,
        cpuUsPerToken: Math.round((cpuS * US_PER_S) / relayed.tokens),
        residentMb: Math.round(after.residentBytes / BYTES_PER_MB),
      },
    };
  } finally {
    await entry.kill();
    await backends.stop();
    await platform.close();
  }
};
