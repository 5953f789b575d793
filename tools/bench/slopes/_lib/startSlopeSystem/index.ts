import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { stringify } from 'smol-toml';
import { createStandInEngine } from '../../../../../standins/engine';
import { createStandInPlatform, type StandInPlatform } from '../../../../../standins/platform';
import { waitUntilListening } from '../../../../scenario/_lib/waitUntilListening';
import {
  renderEntrySettings,
  renderKeeperSettings,
  renderOperatorSettings,
} from '../../../../scenario/_lib/renderSettings';
import { runCommand } from '../../../../scenario/_lib/runCommand';
import { createEventNotifier } from '../../../../scenario/createEventNotifier';
import { startChild } from '../../../../scenario/startChild';
import type { Child } from '../../../../scenario/types';
import type { SlopeLoad } from '../../types';
import { ENGINE_SLOTS, renderSlopeFolder, SLOPE_ZONE } from '../renderSlopeFolder';
import { startFleet } from '../startFleet';

/** A running system; the first entry is the one that is measured. */
export interface SlopeSystem {
  readonly entryUrl: string;
  readonly keeperUrl: string;
  readonly platform: StandInPlatform;
  stop(): Promise<void>;
}

/** Token gap that the users specify for the size expected in two years. */
const TOKEN_GAP_MS = 28;

const MODELS = ['review', 'status'].map((model) => ({ model, version: '1', adapter: '' }));

const RENDER_SETTINGS = { entry: renderEntrySettings, keeper: renderKeeperSettings } as const;

const READY_POLL_MS = 50;

/** Waits for `/readyz`, since an entry listens before it has read a configuration. */
const waitUntilReady = async (url: string): Promise<void> => {
  for (;;) {
    const { ok } = await fetch(`${url}/readyz`);
    if (ok) return;
    await new Promise((resolve) => {
      setTimeout(resolve, READY_POLL_MS);
    });
  }
};

const startEngine = () =>
  createStandInEngine({
    name: 'engine-0',
    models: MODELS,
    slots: ENGINE_SLOTS,
    firstTokenMs: 50,
    gapMs: TOKEN_GAP_MS,
  });

/** Starts the platform, backend servers, configuration, entries and keeper of one point. */
export async function startSlopeSystem(load: SlopeLoad): Promise<SlopeSystem> {
  const notifier = createEventNotifier();
  const children: Child[] = [];
  const [folder, platform, fleet, engine] = await Promise.all([
    mkdtemp(join(tmpdir(), 'jackdaw-slopes-')),
    createStandInPlatform(),
    startFleet(load.polledServers),
    startEngine(),
  ]);
  const { objects, table, vmList } = platform;
  const urls = { table: table.url, objects: objects.url, vmList: vmList.url };
  const stop = async (): Promise<void> => {
    children.forEach((child) => child.process.kill('SIGKILL'));
    await Promise.all(children.map((child) => notifier.waitFor(() => child.readExitStatus())));
    await Promise.all([engine.stop(), fleet.stop(), platform.close()]);
    await rm(folder, { recursive: true, force: true });
  };
  const startVm = async (kind: 'entry' | 'keeper', name: string): Promise<string> => {
    const { availabilityZone } = SLOPE_ZONE;
    const render = RENDER_SETTINGS[kind];
    const path = join(folder, `${kind}-${name}.toml`);
    await writeFile(path, stringify(render({ name, kind, availabilityZone }, urls)));
    const child = startChild({
      name,
      availabilityZone,
      args: [`dist/jackdaw-${kind}.js`, '--settings', path],
      notifier,
      restart: async () => {},
      onStart: (started) => {
        children.push(started);
      },
    });
    const { url } = await waitUntilListening(child, notifier);
    await waitUntilReady(url);
    return url;
  };

  const operator = join(folder, 'jackdaw.toml');
  await writeFile(operator, stringify(renderOperatorSettings(urls)));
  const servers = { fleet: fleet.urls, engines: [engine.url] };
  const path = await renderSlopeFolder(folder, load, servers);
  const applied = await runCommand(['dist/jackdaw.js', 'apply', path, '--settings', operator]);
  if (applied.code !== 0) {
    await stop();
    throw new Error(`apply failed: ${applied.output}`);
  }
  const names = Array.from({ length: load.peers + 1 }, (_value, index) => `entry-${index}`);
  const [entryUrl = ''] = await Promise.all(names.map((name) => startVm('entry', name)));
  const keeperUrl = await startVm('keeper', 'entry-0');
  return { entryUrl, keeperUrl, platform, stop };
}
