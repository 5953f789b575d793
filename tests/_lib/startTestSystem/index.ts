import type { BackendServer, Configuration } from '../../../src/domain/types';
import { startEntry, type Entry, type EntrySettings } from '../../../src/programs/entry';
import { createStandInEngine, type StandInEngineOptions } from '../../../standins/engine';
import { createStandInPlainService } from '../../../standins/plain';
import { createStandInPlatform } from '../../../standins/platform';
import { applyToPlatform, buildEntrySettings } from '../../../tools/embedded';
import { buildTestConfiguration } from '../buildTestConfiguration';

/** What a test system is made of. */
export interface TestSystemOptions {
  readonly entries?: number;
  readonly engines?: readonly StandInEngineOptions[];
  readonly configuration?: Partial<Configuration>;
  /** Gets each log line. */
  readonly onLogLine?: (context: unknown, message: string) => void;
}

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

/** Starts the platform's stand-ins, engines, a plain service and entries, all on loopback. */
export const startTestSystem = async (options: TestSystemOptions = {}) => {
  const platform = await createStandInPlatform();
  const plain = await createStandInPlainService();
  const engines = await Promise.all(
    (options.engines ?? [{}]).map((engine, index) =>
      createStandInEngine({ name: `engine-${index + 1}`, firstTokenMs: 5, gapMs: 1, ...engine }),
    ),
  );
  const backendServers = [
    ...engines.map(({ name, url }) => buildServer(name, url, ['review'])),
    buildServer('plain-1', plain.url, ['billing', 'status']),
  ];
  const configuration = buildTestConfiguration({ backendServers, ...options.configuration });
  const buildSettings = (name: string): EntrySettings =>
    buildEntrySettings(platform, { name, region: 'r1', availabilityZone: 'z1' });
  await applyToPlatform(buildSettings('operator'), configuration);

  const startOne = async (name: string): Promise<Entry> => {
    const started = await startEntry(buildSettings(name), {
      logger: buildLogger(options.onLogLine),
    });
    const entry = started._unsafeUnwrap();
    await entry.waitForConfiguration();
    return entry;
  };
  const names = Array.from({ length: options.entries ?? 1 }, (_, index) => `entry-${index + 1}`);
  const entries = await Promise.all(names.map(startOne));

  const stop = async (): Promise<void> => {
    await Promise.all(entries.map((entry) => entry.stop()));
    await Promise.all([...engines.map((engine) => engine.stop()), plain.stop(), platform.close()]);
  };
  return { engines, entries, plain, platform, startOne, stop };
};
