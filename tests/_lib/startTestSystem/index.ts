import { createPlatformDispatcher } from '../../../src/adapters/platform-http';
import { createDynamoTableStore } from '../../../src/adapters/table';
import { applyConfiguration } from '../../../src/application/configuration';
import type { BackendServer, Configuration } from '../../../src/domain/types';
import { startEntry, type Entry, type EntrySettings } from '../../../src/programs/entry';
import { createSystemClock, createSystemRandomness } from '../../../src/adapters/system';
import { createStandInEngine, type StandInEngineOptions } from '../../../standins/engine';
import { createStandInPlainService } from '../../../standins/plain';
import { createStandInPlatform } from '../../../standins/platform';
import { buildTestConfiguration } from '../buildTestConfiguration';

/** Options of `startTestSystem`. */
export interface TestSystemOptions {
  readonly entries?: number;
  readonly engines?: readonly StandInEngineOptions[];
  readonly configuration?: Partial<Configuration>;
  /** Receives each log line. */
  readonly onLogLine?: (context: unknown, message: string) => void;
}

/** Timeout for the test's own table calls; long, so that a busy machine fails no test. */
const APPLY_DEADLINE_MS = 20_000;

const CREDENTIALS = { region: 'r1', accessKeyId: 'id', secretAccessKey: 'secret' };

const buildServer = (name: string, url: string, services: readonly string[]): BackendServer => ({
  name,
  url,
  services,
  region: 'r1',
  availabilityZone: 'z1',
  slots: 8,
  checksFencing: true,
});

const buildLogger = (onLogLine: TestSystemOptions['onLogLine']) => {
  const write = (context: unknown, message: string): void => onLogLine?.(context, message);
  return { info: write, warn: write, error: write };
};

/** Starts a stand-in platform, engines, a plain service and entries, all on loopback. */
export const startTestSystem = async (options: TestSystemOptions = {}) => {
  const platform = await createStandInPlatform();
  const plain = await createStandInPlainService();
  const engines = await Promise.all(
    (options.engines ?? [{}]).map((engine, index) =>
      createStandInEngine({ name: `engine-${index + 1}`, firstTokenMs: 5, gapMs: 1, ...engine }),
    ),
  );
  const clock = createSystemClock();
  const randomness = createSystemRandomness();
  const table = { ...CREDENTIALS, endpoint: platform.table.url, tableName: 'jackdaw' };
  const dispatcher = createPlatformDispatcher();
  const tableStore = createDynamoTableStore(
    { ...table, deadlineMs: APPLY_DEADLINE_MS },
    { clock, dispatcher },
  );
  const backendServers = [
    ...engines.map(({ name, url }) => buildServer(name, url, ['review'])),
    buildServer('plain-1', plain.url, ['billing', 'status']),
  ];
  const configuration = buildTestConfiguration({ backendServers, ...options.configuration });
  (
    await applyConfiguration(
      { table: tableStore, clock, randomness },
      { configuration, expectedVersion: 0, appliedBy: 'test', comment: '' },
    )
  )._unsafeUnwrap();

  const startOne = async (name: string): Promise<Entry> => {
    const settings: EntrySettings = {
      vm: { name, region: 'r1', availabilityZone: 'z1' },
      callers: { host: '127.0.0.1', port: 0 },
      peers: { host: '127.0.0.1', port: 0, seeds: [] },
      table,
      objects: { ...CREDENTIALS, endpoint: platform.objects.url, bucket: 'jackdaw' },
      vmList: { endpoint: platform.vmList.url },
      cursorKeys: ['test-cursor-key-of-32-characters'],
    };
    const started = await startEntry(settings, { logger: buildLogger(options.onLogLine) });
    const entry = started._unsafeUnwrap();
    await entry.waitForConfiguration();
    return entry;
  };
  const names = Array.from({ length: options.entries ?? 1 }, (_, index) => `entry-${index + 1}`);
  const entries = await Promise.all(names.map(startOne));

  const stop = async (): Promise<void> => {
    await Promise.all(entries.map((entry) => entry.stop()));
    await Promise.all([...engines.map((engine) => engine.stop()), plain.stop(), platform.close()]);
    await dispatcher.destroy();
  };
  return { engines, entries, plain, platform, startOne, stop };
};
