import { mkdir, mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { stringify } from 'smol-toml';
import { listProcesses, ProcessKind, type PlannedProcess } from '../_lib/listProcesses';
import { mergeTables } from '../_lib/mergeTables';
import { waitUntilListening, type ListenAddresses } from '../_lib/waitUntilListening';
import { REGION, renderConfiguration, type StartedServer } from '../_lib/renderConfiguration';
import {
  renderEntrySettings,
  renderKeeperSettings,
  renderOperatorSettings,
  type PlatformUrls,
} from '../_lib/renderSettings';
import { runCommand } from '../_lib/runCommand';
import { startChild } from '../startChild';
import type { Child, Deployment, EventNotifier, Scenario } from '../types';

type Table = Readonly<Record<string, unknown>>;

const MODELS = 'review@1,status@1';
const SERVICES_BY_KIND: Readonly<Record<string, readonly string[]>> = {
  [ProcessKind.Engine]: ['review', 'status'],
  [ProcessKind.Billing]: ['billing'],
  [ProcessKind.Register]: ['register'],
};

const sendJson = async (url: string, body: unknown): Promise<void> => {
  const response = await fetch(url, {
    method: 'POST',
    headers: { 'Content-Type': 'application/json' },
    body: JSON.stringify(body),
  });
  const text = await response.text();
  if (!response.ok) throw new Error(`${url}: ${response.status} ${text}`);
};

const buildEngineArgs = (name: string, { deployment }: Scenario): readonly string[] => [
  'dist/standin-engine.js',
  ...['--name', name],
  ...['--slots', String(deployment.slots)],
  ...['--first-token-ms', String(deployment.first_token_ms)],
  ...['--gap-ms', String(deployment.token_ms)],
  ...['--models', MODELS],
  deployment.checks_fencing ? '--checks-fencing' : '--no-checks-fencing',
];

/** Creates a deployment of real processes; nothing runs before `start`. */
export function createDeployment(scenario: Scenario, board: EventNotifier): Deployment {
  const children = new Map<string, Child>();
  const started: Child[] = [];
  const listening = new Map<string, ListenAddresses>();
  let folder = '';
  let configuration: Table = {};
  let urls: PlatformUrls = { table: '', objects: '', vmList: '' };
  let vms: readonly Table[] = [];

  const readPlace = (name: string): ListenAddresses => {
    const place = listening.get(name);
    if (place === undefined) throw new Error(`no process named "${name}"`);
    return place;
  };
  const writeToml = async (path: string, table: Table): Promise<string> => {
    await writeFile(join(folder, path), stringify(table));
    return join(folder, path);
  };
  const setFaults: Deployment['setFaults'] = (name, path, faults) =>
    sendJson(`${readPlace(name).url}/control/${path}`, faults);
  const recordVm = async (vm: Table): Promise<void> => {
    vms = [...vms.filter((known) => known.vm !== vm.vm), vm];
    await setFaults('platform', 'vmList/vms', { vms });
  };

  /** Starts a process; `startArgs` gives the arguments for the port it had before, 0 at first. */
  const startProcess = async (
    planned: Pick<PlannedProcess, 'name' | 'availabilityZone'>,
    startArgs: (port: number) => readonly string[],
  ): Promise<ListenAddresses> => {
    const child = startChild({
      ...planned,
      notifier: board,
      args: startArgs(listening.get(planned.name)?.ports.port ?? 0),
      restart: async () => {
        await startProcess(planned, startArgs);
      },
      onStart: (process) => {
        children.set(planned.name, process);
        started.push(process);
      },
    });
    const place = await waitUntilListening(child, board);
    listening.set(planned.name, place);
    // A keeper has no peer address: listed, it would pass for a backend server.
    if (planned.name !== 'platform' && !planned.name.startsWith(ProcessKind.Keeper)) {
      await recordVm({
        vm: planned.name,
        peerAddress: place.peerAddress,
        region: REGION,
        availabilityZone: planned.availabilityZone,
      });
    }
    return place;
  };

  const startBackendServer = async (planned: PlannedProcess): Promise<StartedServer> => {
    const { name, kind, availabilityZone } = planned;
    const { url } = await startProcess(planned, (port) => [
      ...(kind === ProcessKind.Engine
        ? buildEngineArgs(name, scenario)
        : ['dist/standin-plain.js']),
      ...['--port', String(port)],
    ]);
    return { name, url, availabilityZone, services: SERVICES_BY_KIND[kind] ?? [] };
  };
  const startVm = async (planned: PlannedProcess): Promise<void> => {
    const isEntry = planned.kind === ProcessKind.Entry;
    const render = isEntry ? renderEntrySettings : renderKeeperSettings;
    const file = await writeToml(`${planned.name}.toml`, render(planned, urls));
    await startProcess(planned, () => [`dist/jackdaw-${planned.kind}.js`, '--settings', file]);
  };

  const writeConfiguration: Deployment['writeConfiguration'] = async (name, changes) => {
    await mkdir(join(folder, name), { recursive: true });
    await writeToml(join(name, '10-deployment.toml'), mergeTables(configuration, changes));
    return join(folder, name);
  };
  const runJackdaw: Deployment['runJackdaw'] = (args) =>
    runCommand(['dist/jackdaw.js', ...args, '--settings', join(folder, 'jackdaw.toml')]);

  const start = async (): Promise<void> => {
    folder = await mkdtemp(join(tmpdir(), 'jackdaw-scenario-'));
    const { deployment } = scenario;
    const platform = await startProcess({ name: 'platform', availabilityZone: '' }, () => [
      'dist/standin-platform.js',
    ]);
    const toUrl = (name: string): string => `http://127.0.0.1:${platform.ports[name]}`;
    urls = { table: toUrl('table'), objects: toUrl('objects'), vmList: toUrl('vmList') };
    const servers = await Promise.all(
      [
        ...listProcesses(ProcessKind.Engine, deployment.engines, scenario),
        ...listProcesses(ProcessKind.Billing, deployment.billing, scenario),
        ...listProcesses(ProcessKind.Register, deployment.register, scenario),
      ].map(startBackendServer),
    );
    configuration = mergeTables(renderConfiguration(scenario, servers), deployment.configuration);
    await writeToml('jackdaw.toml', renderOperatorSettings(urls));
    const { code, output } = await runJackdaw(['apply', await writeConfiguration('first', {})]);
    if (code !== 0) throw new Error(`the first apply failed: ${output}`);
    await Promise.all(
      [
        ...listProcesses(ProcessKind.Entry, deployment.entries, scenario),
        ...listProcesses(ProcessKind.Keeper, deployment.keepers, scenario),
      ].map(startVm),
    );
  };

  return {
    start,
    children,
    started,
    readUrl: (name) => readPlace(name).url,
    readControl: async (name, path) => {
      const response = await fetch(`${readPlace(name).url}/control/${path}`);
      return response.json();
    },
    setFaults,
    runJackdaw,
    writeConfiguration,
    stop: async () => {
      started.forEach((child) => child.process.kill('SIGKILL'));
      await Promise.all(started.map((child) => board.waitFor(() => child.readExitStatus())));
      if (folder !== '') await rm(folder, { recursive: true, force: true });
    },
  };
}
