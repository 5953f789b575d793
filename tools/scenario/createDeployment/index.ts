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

/** Creates a deployment of real processes; `start` starts them. */
export function createDeployment(scenario: Scenario, notifier: EventNotifier): Deployment {
  const children = new Map<string, Child>();
  const started: Child[] = [];
  const addresses = new Map<string, ListenAddresses>();
  let folder = '';
  let configuration: Table = {};
  let urls: PlatformUrls = { table: '', objects: '', vmList: '' };
  let vms: readonly Table[] = [];

  const findAddress = (name: string): ListenAddresses => {
    const address = addresses.get(name);
    if (address === undefined) throw new Error(`no process named "${name}"`);
    return address;
  };
  const writeToml = async (path: string, table: Table): Promise<string> => {
    await writeFile(join(folder, path), stringify(table));
    return join(folder, path);
  };
  const setFaults: Deployment['setFaults'] = (name, path, faults) =>
    sendJson(`${findAddress(name).url}/control/${path}`, faults);
  const recordVm = async (vm: Table): Promise<void> => {
    vms = [...vms.filter((known) => known.vm !== vm.vm), vm];
    await setFaults('platform', 'vmList/vms', { vms });
  };

  /** Starts a process; `startArgs` takes its previous port, 0 at the first start. */
  const startProcess = async (
    planned: Pick<PlannedProcess, 'name' | 'availabilityZone'>,
    startArgs: (port: number) => readonly string[],
  ): Promise<ListenAddresses> => {
    const child = startChild({
      ...planned,
      notifier,
      args: startArgs(addresses.get(planned.name)?.ports.port ?? 0),
      restart: async () => {
        await startProcess(planned, startArgs);
      },
      onStart: (process) => {
        children.set(planned.name, process);
        started.push(process);
      },
    });
    const address = await waitUntilListening(child, notifier);
    addresses.set(planned.name, address);
    // A keeper has no peer address: in the VM list, it would be taken for a backend server.
    if (planned.name !== 'platform' && !planned.name.startsWith(ProcessKind.Keeper)) {
      await recordVm({
        vm: planned.name,
        peerAddress: address.peerAddress,
        region: REGION,
        availabilityZone: planned.availabilityZone,
      });
    }
    return address;
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
    const buildPlatformUrl = (name: string): string => `http://127.0.0.1:${platform.ports[name]}`;
    urls = {
      table: buildPlatformUrl('table'),
      objects: buildPlatformUrl('objects'),
      vmList: buildPlatformUrl('vmList'),
    };
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
    readUrl: (name) => findAddress(name).url,
    readControl: async (name, path) => {
      const response = await fetch(`${findAddress(name).url}/control/${path}`);
      return response.json();
    },
    setFaults,
    runJackdaw,
    writeConfiguration,
    stop: async () => {
      started.forEach((child) => child.process.kill('SIGKILL'));
      await Promise.all(started.map((child) => notifier.waitFor(() => child.readExitStatus())));
      if (folder !== '') await rm(folder, { recursive: true, force: true });
    },
  };
}
