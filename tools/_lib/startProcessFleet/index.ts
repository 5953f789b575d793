import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdirSync, openSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { CONFIGURATION_KEY, TABLES } from '../../../platform';
import { findFreePort } from '../../../standins/_lib/findFreePort';
import {
  buildWireEntry,
  createStandInServer,
  createStandInStore,
  type ReceivedRequest,
  type StandInServer,
} from '../../../standins/gateway';

/** Options of the fleet. */
export interface ProcessFleetOptions {
  /** Number of gateways. */
  readonly vms: number;
  /** Folder of settings, CPU profile and logs. */
  readonly folder: string;
  /** Number of backend servers, by service. */
  readonly servers: Readonly<Record<string, number>>;
  readonly configuration: object;
  /** Answers a request at a server. */
  readonly serve: (server: StandInServer, request: ReceivedRequest) => void;
  /** Whether each gateway writes its log to a file of the folder. */
  readonly writesLogs?: boolean;
}

/** Gateways as separate processes, with a store and backend servers in this process. */
export interface ProcessFleet {
  /** Port for callers of each gateway. */
  readonly callerPorts: readonly number[];
  /** Lists the process ids of the gateways. */
  listPids(): readonly number[];
  /** Returns the number of connections that the servers have accepted so far. */
  countConnections(): number;
  /** Lists the servers of a service that run; of one availability zone if it is given. */
  listServers(service: string, zone?: string): readonly StandInServer[];
  /** Ends a server; another one takes its place under a new id. */
  crashServer(server: StandInServer): Promise<void>;
  /** Kills gateways at once and starts them again: all of them, or those whose index is picked. */
  restartGateways(isPicked?: (index: number) => boolean): Promise<void>;
  stop(): Promise<void>;
}

/** A backend server that runs. */
interface RunningServer {
  readonly server: StandInServer;
  readonly service: string;
  readonly zone: string;
}

const ZONES = 4;

/** Servers close connections that are idle for this long. */
const IDLE_TIMEOUT_MS = 1500;

/** Time from a crash to the removal of the server's entry, and to the start of another one. */
const LAPSE_MS = 1200;
const RESTART_MS = 3000;

const SEED_COUNT = 3;

/** Starts gateways; the last one writes its CPU profile to the folder when it exits. */
export const startProcessFleet = async ({
  configuration,
  folder,
  serve,
  servers,
  vms,
  writesLogs = false,
}: ProcessFleetOptions): Promise<ProcessFleet> => {
  mkdirSync(folder, { recursive: true });
  const store = await createStandInStore();
  const running = new Map<StandInServer, RunningServer>();
  let started = 0;
  let connectionsOfCrashed = 0;
  let isStopping = false;

  const startServer = async (service: string, zone: string): Promise<void> => {
    started += 1;
    const server = await createStandInServer(`${service}-${started}`, { idleMs: IDLE_TIMEOUT_MS });
    server.addListener(() => {
      const request = server.takeRequest();
      if (request) serve(server, request);
    });
    running.set(server, { server, service, zone });
    store.writeRow(TABLES.servers, server.id, buildWireEntry(server, { zone, service }));
  };

  const crashServer = async (server: StandInServer): Promise<void> => {
    const known = running.get(server);
    if (!known) return;
    running.delete(server);
    connectionsOfCrashed += server.countConnections();
    await server.crash();
    await wait(LAPSE_MS);
    store.writeRow(TABLES.servers, server.id, null);
    await wait(RESTART_MS - LAPSE_MS);
    if (!isStopping) await startServer(known.service, known.zone);
  };

  await Promise.all(
    Object.entries(servers).flatMap(([service, count]) =>
      Array.from({ length: count }, (_, index) => startServer(service, `z${index % ZONES}`)),
    ),
  );
  store.writeRow(TABLES.operator, CONFIGURATION_KEY, configuration);
  const ports: { readonly callers: number; readonly peers: number }[] = [];
  for (let index = 0; index < vms; index += 1) {
    ports.push({ callers: await findFreePort(), peers: await findFreePort() });
  }
  const seeds = ports.slice(0, SEED_COUNT).map(({ peers }) => `"127.0.0.1:${peers}"`);
  const startGateway = (
    { callers, peers }: (typeof ports)[number],
    index: number,
    isFirstStart: boolean,
  ): ChildProcess => {
    const file = join(folder, `vm-${index}.toml`);
    writeFileSync(
      file,
      `node_name = "vm-${index}"
ip = "127.0.0.1"
zone = "z${index % ZONES}"
internal_ports = [0, 0]
seeds = [${seeds.join(',')}]
bootstrap = ${isFirstStart}
[listen]
frontend = "127.0.0.1:${callers}"
readiness = "127.0.0.1:0"
control_plane = "127.0.0.1:${peers}"
[bounds]
contact_ms = 4000
config_apply_ms = 3000
drain_ms = 3000
retry_budget_ratio = 0.8
retry_budget_extra = 150
retry_window_s = 10
[platform]
address = "${new URL(store.url).host}"
`,
    );
    const profile = index === vms - 1 ? ['--cpu-prof', `--cpu-prof-dir=${folder}`] : [];
    const args = [...profile, 'target/jackdaw-gateway.cjs', '--settings', file];
    const output = writesLogs ? openSync(join(folder, `vm-${index}.log`), 'a') : 'ignore';
    return spawn(process.execPath, args, { stdio: ['ignore', output, 'inherit'] });
  };
  let children: readonly ChildProcess[] = ports.map((one, index) => startGateway(one, index, true));

  const endGateways = async (
    ended: readonly ChildProcess[],
    signal: 'SIGKILL' | 'SIGTERM',
  ): Promise<void> => {
    const exits = ended.map((child) => once(child, 'exit'));
    ended.forEach((child) => child.kill(signal));
    await Promise.all(exits);
  };

  // Kills the gateways also when the tool fails.
  process.once('exit', () => children.forEach((child) => child.kill('SIGKILL')));
  return {
    callerPorts: ports.map(({ callers }) => callers),
    listPids: () => children.map(({ pid }) => pid ?? 0),
    countConnections: () =>
      [...running.keys()].reduce(
        (sum, server) => sum + server.countConnections(),
        connectionsOfCrashed,
      ),
    listServers: (service, zone) =>
      [...running.values()]
        .filter((one) => one.service === service && (zone === undefined || one.zone === zone))
        .map(({ server }) => server),
    crashServer,
    restartGateways: async (isPicked = () => true) => {
      await endGateways(
        children.filter((_, index) => isPicked(index)),
        'SIGKILL',
      );
      children = children.map((child, index) =>
        isPicked(index)
          ? startGateway(ports[index] as (typeof ports)[number], index, false)
          : child,
      );
    },
    stop: async () => {
      isStopping = true;
      await endGateways(children, 'SIGTERM');
      await Promise.all([store.stop(), ...[...running.keys()].map((server) => server.stop())]);
    },
  };
};
