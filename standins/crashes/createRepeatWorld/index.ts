import { createCrashProbe, createCrashTrials } from '../../../src/application/crashes';
import type { Forwarder, ServerDirectory } from '../../../src/application/forwarding';
import {
  createRelayRegistry,
  createServerPaths,
  createServerReach,
  type ServerReach,
} from '../../../src/application/paths';
import type { SchedulerClient } from '../../../src/application/scheduling';
import { RouteKind, type RouteTable } from '../../../src/domain/forwarding';
import {
  createFakeClock,
  createInactiveScheduler,
  createSeededRandomness,
  QUIET_LOG,
} from '../../fakes';
import { createVirtualStore } from '../../gateway';
import { createGossipFleet } from '../../gossip';
import {
  createSimulatedDirectory,
  createSimulatedForwarder,
  SIMULATED_SERVICE,
  SIMULATED_TABLE,
} from '../../model';
import { createFailingClient, type FailingClient } from '../createFailingClient';
import { createFailingServers } from '../createFailingServers';
import type { RepeatSimulation, RepeatWorld } from '../types';

/** VMs, which run the production code, servers and links in virtual time. */
export interface RunningWorld extends RepeatWorld {
  readonly clock: ReturnType<typeof createFakeClock>;
  /** Forwarders by VM. */
  readonly forwarders: ReadonlyMap<string, Forwarder>;
  stop(): void;
}

const SERVERS = 18;
const VMS = ['vm-0', 'vm-1', 'vm-2', 'vm-3'];
const CUT_VMS = VMS.slice(0, 2);

/** Path of the repeated request. */
export const REPEATED_TARGET = 'again';

const PEER_CALL_MS = 2;

/** Builds a table whose routes `/stream/` and `/call/` lead to the simulated service. */
const buildTable = (maxAttempts: number, isScheduled: boolean): RouteTable => {
  const [route] = SIMULATED_TABLE.routesByHost.get('h') ?? [];
  if (!route) throw new Error('the simulated table has no route');
  const stream = { ...route, name: 'stream', prefix: '/stream/', maxAttempts, latencyGoalMs: 300 };
  const call = { ...stream, name: 'call', prefix: '/call/', kind: RouteKind.Repeatable };
  const urgent = { ...stream, name: 'urgent', prefix: '/urgent/', priority: 0 };
  const services = [...SIMULATED_TABLE.services].map(
    ([name, service]) =>
      [name, { ...service, engine: isScheduled ? ({} as never) : null }] as const,
  );
  const routes = [stream, call, ...(isScheduled ? [urgent] : [])];
  return {
    ...SIMULATED_TABLE,
    routesByHost: new Map([['h', routes]]),
    services: new Map(services),
  };
};

/** A scheduler that grants any server that is not excluded. */
const createGrantingScheduler = (
  inactive: SchedulerClient,
  listIds: () => readonly string[],
): SchedulerClient => ({
  ...inactive,
  requestServer: async (_, readDemand) => {
    const { excludedServers } = readDemand();
    const server = listIds().find((id) => !excludedServers.includes(id));
    if (server === undefined) return { kind: 'unknown' };
    const grant = { ticket: 't', server, backup: null, predictedMs: 100, isFree: true };
    return { kind: 'send', ...grant, waitedMs: 0, cancel: () => undefined };
  },
});

const isStream = (target: string): boolean => target.startsWith('/stream/');

/** Creates the world of a simulation. The VMs know each other a few seconds later. */
export const createRepeatWorld = (simulation: RepeatSimulation): RunningWorld => {
  const { fault, isBad = true, isFramed, isScheduled = false, losesRelays = false } = simulation;
  const directories = new Map<string, ServerDirectory>();
  const { clock, gossips, histories, stop } = createGossipFleet(
    VMS,
    {},
    (vm, server, atMs) => directories.get(vm)?.hasAnsweredSince(server, atMs) ?? false,
  );
  const store = createVirtualStore(clock);
  let version = 1;
  const applyRow = (key: string, value: Buffer | null): void => {
    version += 1;
    const origin = { source: 'store', ageMs: 0, outageEndedAtMs: null, isRestored: false } as const;
    directories.forEach((directory) => directory.applyRows([{ key, value, version }], origin));
  };
  const servers = createFailingServers({
    clock,
    count: SERVERS,
    fault,
    handleGone: (id) => applyRow(id, null),
    handleStarted: (id) => applyRow(id, Buffer.from('x')),
  });
  const cutVms = new Set(simulation.isRelayed ? CUT_VMS : []);
  const reaches = new Map<string, ServerReach>();
  const table = buildTable(simulation.maxAttempts, isScheduled);
  const stops: (() => void)[] = [stop];

  const addVm = (vm: string, index: number): readonly [string, Forwarder] => {
    const crashes = histories.get(vm);
    if (!crashes) throw new Error(`no crash history of ${vm}`);
    const common = {
      clock,
      log: QUIET_LOG,
      randomness: createSeededRandomness(simulation.seed * VMS.length + index),
    };
    const directory = createSimulatedDirectory(clock, servers.listIds());
    directories.set(vm, directory);
    let probeDirectly: FailingClient['probeDirectly'] = async () => false;
    const reach = createServerReach({
      ...common,
      listServers: directory.listEntries,
      probeServer: (server) => probeDirectly(server),
    });
    reaches.set(vm, reach);
    const relays = createRelayRegistry({
      ...common,
      self: { vm, availabilityZone: `z${index}` },
      listPeers: () =>
        VMS.filter((other) => other !== vm).map((other, at) => ({
          vm: other,
          address: other,
          availabilityZone: `z${at}`,
          cores: 1,
        })),
      askPeer: async (address, question) => {
        await new Promise<void>((resolve) => {
          clock.startTimer(PEER_CALL_MS, resolve);
        });
        const answer = await reaches.get(address)?.probeReach(question);
        return answer ? { ...answer, running: 0 } : null;
      },
    });
    const paths = createServerPaths({
      ...common,
      reach,
      relays,
      handleRelayed: directory.recordReachable,
    });
    const client = createFailingClient({
      clock,
      servers,
      paths,
      isFramed,
      losesRelays,
      isStream,
      isBad: (target) => isBad && target.endsWith(REPEATED_TARGET),
      readState: (relay, id) => (cutVms.has(relay ?? vm) ? 'gone' : servers.readState(id)),
    });
    probeDirectly = client.probeDirectly;
    stops.push(paths.stop);
    const crashProbe = createCrashProbe({
      ...common,
      crashes,
      servers: {
        findServer: directory.findEntry,
        probeIdentity: (server) => client.probeIdentity(server, '/'),
        findFailureCause: paths.findFailureCause,
        isCutFrom: paths.isCutFrom,
        hasAnsweredSince: directory.hasAnsweredSince,
        recordAlive: directory.recordAlive,
      },
    });
    const scheduler = createGrantingScheduler(createInactiveScheduler(), () =>
      directory.listServing(SIMULATED_SERVICE).map(({ entry }) => entry.id),
    );
    const forwarder = createSimulatedForwarder({
      ...common,
      index,
      vms: VMS.length,
      client,
      crashes,
      crashProbe,
      crashTrials: createCrashTrials({ ...common, table: 't', store, crashes }),
      directory,
      paths,
      table,
      ...(isScheduled ? { scheduler } : {}),
    });
    return [vm, forwarder];
  };

  const forwarders = new Map(VMS.map(addVm));
  gossips.forEach((gossip) => gossip.start());
  return {
    clock,
    cutVms,
    forwarders,
    servers,
    stop: () => stops.forEach((one) => one()),
  };
};
