import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { CONFIGURATION_KEY, TABLES } from '../../../platform';
import { findFreePort } from '../../../standins/_lib/findFreePort';
import {
  buildWireConfiguration,
  buildWireEntry,
  createStandInServer,
  createStandInStore,
  type ReceivedRequest,
  type StandInServer,
} from '../../../standins/gateway';

/** Gateways as separate processes, with a store and backend servers in this process. */
export interface CostFleet {
  /** Port for callers of each gateway. */
  readonly callerPorts: readonly number[];
  readonly pids: readonly number[];
  /** Returns the number of connections that the servers have accepted so far. */
  countConnections(): number;
  stop(): Promise<void>;
}

const ENGINES = 60;
const DESK_SERVERS = 4;
const ZONES = 4;

/** Servers close connections that are idle for this long. */
const IDLE_TIMEOUT_MS = 1500;
const LOOKUP_MS = 20;
const LOOKUP_BYTES = 800;
const PREFILL_MS = 1000;
const EVENT_MS = 35;
const EVENTS = 140;
const ROUTE_TIMEOUT_MS = 25_000;
const SEED_COUNT = 3;

const sendStream = async (server: StandInServer, request: ReceivedRequest): Promise<void> => {
  await wait(PREFILL_MS);
  server.startStream(request);
  for (let id = 1; id <= EVENTS && !request.response.destroyed; id += 1) {
    server.sendEvents(request, id, id);
    await wait(EVENT_MS);
  }
  request.response.end();
};

const serve = (server: StandInServer): void =>
  server.addListener(() => {
    const request = server.takeRequest();
    if (!request) return;
    if (request.target.startsWith('/stream/')) sendStream(server, request);
    else setTimeout(() => server.answer(request, 200, 'x'.repeat(LOOKUP_BYTES)), LOOKUP_MS);
  });

const startServers = (service: string, count: number) =>
  Promise.all(
    Array.from({ length: count }, async (_, index) => {
      const server = await createStandInServer(`${service}-${index}`, { idleMs: IDLE_TIMEOUT_MS });
      serve(server);
      return { server, entry: buildWireEntry(server, { zone: `z${index % ZONES}`, service }) };
    }),
  );

const buildConfiguration = (): object => {
  const { routes, services } = buildWireConfiguration() as {
    routes: { name: string }[];
    services: object[];
  };
  return buildWireConfiguration({
    routes: routes.map((route) => ({
      ...route,
      service: route.name === 'stream' ? 's' : 'desk',
      timeout_ms: ROUTE_TIMEOUT_MS,
    })),
    services: [...services, { name: 'desk', health_path: '/healthz' }],
  });
};

/**
 * Starts gateways; one of them writes its CPU profile to `folder` when it exits.
 *
 * @param vms - number of gateways
 */
export const startCostFleet = async (vms: number, folder: string): Promise<CostFleet> => {
  mkdirSync(folder, { recursive: true });
  const store = await createStandInStore();
  const servers = [
    ...(await startServers('s', ENGINES)),
    ...(await startServers('desk', DESK_SERVERS)),
  ];
  servers.forEach(({ entry, server }) => store.writeRow(TABLES.servers, server.id, entry));
  store.writeRow(TABLES.operator, CONFIGURATION_KEY, buildConfiguration());
  const ports: { readonly callers: number; readonly peers: number }[] = [];
  for (let index = 0; index < vms; index += 1) {
    ports.push({ callers: await findFreePort(), peers: await findFreePort() });
  }
  const seeds = ports.slice(0, SEED_COUNT).map(({ peers }) => `"127.0.0.1:${peers}"`);
  const children: ChildProcess[] = ports.map(({ callers, peers }, index) => {
    const file = join(folder, `vm-${index}.toml`);
    writeFileSync(
      file,
      `node_name = "vm-${index}"
ip = "127.0.0.1"
zone = "z${index % ZONES}"
internal_ports = [0, 0]
seeds = [${seeds.join(',')}]
bootstrap = true
[listen]
frontend = "127.0.0.1:${callers}"
readiness = "127.0.0.1:0"
control_plane = "127.0.0.1:${peers}"
[bounds]
contact_ms = 4000
config_apply_ms = 3000
drain_ms = 3000
[platform]
address = "${new URL(store.url).host}"
`,
    );
    const profile = index === vms - 1 ? ['--cpu-prof', `--cpu-prof-dir=${folder}`] : [];
    const args = [...profile, 'target/jackdaw-gateway.cjs', '--settings', file];
    return spawn(process.execPath, args, { stdio: ['ignore', 'ignore', 'inherit'] });
  });
  // Kills the gateways also when the tool fails.
  process.once('exit', () => children.forEach((child) => child.kill('SIGKILL')));
  return {
    callerPorts: ports.map(({ callers }) => callers),
    pids: children.map(({ pid }) => pid ?? 0),
    countConnections: () => servers.reduce((sum, { server }) => sum + server.countConnections(), 0),
    stop: async () => {
      const exits = children.map((child) => once(child, 'exit'));
      children.forEach((child) => child.kill('SIGTERM'));
      await Promise.all(exits);
      await Promise.all([store.stop(), ...servers.map(({ server }) => server.stop())]);
    },
  };
};
