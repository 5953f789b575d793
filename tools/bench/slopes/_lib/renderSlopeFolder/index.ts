import { createHash } from 'node:crypto';
import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { stringify } from 'smol-toml';
import type { SlopeLoad } from '../../types';

/** Region and availability zone of everything that the bench starts. */
export const SLOPE_ZONE = { region: 'region-1', availabilityZone: 'zone-a' } as const;

/** Bearer key of the first workspace. */
export const SLOPE_KEY = 'slope-key-0';

const FLEET_SLOTS = 8;

/** More than any point uses at once, so that no request waits. */
export const ENGINE_SLOTS = 512;

/** URLs of the started backend servers. */
export interface SlopeServers {
  /** Servers that only report their load. */
  readonly fleet: readonly string[];
  /** Engines that generate. */
  readonly engines: readonly string[];
}

const renderServer = (url: string, slots: number): Readonly<Record<string, unknown>> => ({
  url,
  region: SLOPE_ZONE.region,
  availability_zone: SLOPE_ZONE.availabilityZone,
  services: ['review', 'status'],
  slots,
  checks_fencing: true,
});

const MODELS = ['review', 'status'].map((model) => ({ model, version: '1', adapter: '' }));

const renderWorkspace = (index: number): Readonly<Record<string, unknown>> => ({
  key_digests: [createHash('sha256').update(`slope-key-${index}`).digest('hex')],
  services: ['review', 'status'],
  places: ['all'],
});

/** Writes the configuration folder of one point and returns its path. */
export async function renderSlopeFolder(
  folder: string,
  load: SlopeLoad,
  { fleet, engines }: SlopeServers,
): Promise<string> {
  const servers = [
    ...fleet.map((url, index) => [`fleet-${index}`, renderServer(url, FLEET_SLOTS)] as const),
    ...engines.map((url, index) => [`engine-${index}`, renderServer(url, ENGINE_SLOTS)] as const),
  ];
  const workspaces = Array.from({ length: load.workspaces }, (_value, index) => [
    `workspace-${index}`,
    renderWorkspace(index),
  ]);
  const path = join(folder, 'configuration');
  await mkdir(path);
  const table = {
    deployment: { name: 'slopes', survival: 'thrift' },
    places: {
      all: { region: SLOPE_ZONE.region, availability_zones: [SLOPE_ZONE.availabilityZone] },
    },
    services: {
      review: { kind: 'model', work_class: 'long', max_output_tokens: 100_000 },
      status: { kind: 'model', work_class: 'lookup', max_output_tokens: 64 },
    },
    backend_servers: Object.fromEntries(servers),
    engine_targets: { all: { backend_servers: servers.map(([name]) => name), models: MODELS } },
    workspaces: Object.fromEntries(workspaces),
  };
  await writeFile(join(path, '10-all.toml'), stringify(table));
  return path;
}
