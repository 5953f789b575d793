import { createCrashProbe, createCrashTrials } from '../../../src/application/crashes';
import type { Forwarder, ServerDirectory } from '../../../src/application/forwarding';
import { createSeededRandomness, QUIET_LOG } from '../../fakes';
import { createVirtualStore } from '../../gateway';
import { createGossipFleet } from '../../gossip';
import {
  createSimulatedCaller,
  createSimulatedDirectory,
  createSimulatedForwarder,
  DEADLINE_MS,
  type CallerOutcome,
} from '../../model';
import { createCrashingServers, type Arrival, type RequestCrash } from '../createCrashingServers';

/** Streams of one kind that arrive at random VMs. */
export interface SimulatedTraffic {
  readonly perS: number;
  readonly fromMs: number;
  readonly untilMs: number;
  /** Parts of the prompt of the stream with this number, without its own last part. */
  readonly buildParts: (index: number) => readonly string[];
  /** True if the last of these parts is the last one of the prompt, as in a session. */
  readonly isLastShared?: boolean;
}

/** Streams, some of which crash the servers that begin to answer them. */
export interface CrashSimulation {
  readonly seed: number;
  readonly vms: number;
  readonly servers: number;
  readonly traffic: readonly SimulatedTraffic[];
  readonly durationMs: number;
  readonly crashes: (parts: readonly string[], server: string) => boolean;
  /** Events that a server sends before it crashes; none by default. */
  readonly eventsBeforeCrash?: number;
  /** Counts the events of a whole stream; four by default. */
  readonly countEvents?: ((parts: readonly string[]) => number) | undefined;
  /** Time from a request to the head of its response; a second by default. */
  readonly prefillMs?: number | undefined;
  /** Time between two events; a quarter of a second by default. */
  readonly eventGapMs?: number | undefined;
  /** Servers that all crash at one moment, by its time. */
  readonly losses?: readonly { readonly atMs: number; readonly count: number }[];
  /** Time that a message between VMs takes one way; none by default. */
  readonly transitMs?: number | undefined;
}

/** A stream and how it ended; null if it had not ended at the end of the simulation. */
export interface SimulatedStream {
  readonly atMs: number;
  readonly parts: readonly string[];
  readonly outcome: CallerOutcome | null;
}

/** What servers and callers saw. */
export interface CrashSimulationResult {
  readonly arrivals: readonly Arrival[];
  readonly crashedAtMs: readonly number[];
  readonly requestCrashes: readonly RequestCrash[];
  readonly streams: readonly SimulatedStream[];
  /** Most prompt parts that any VM held responsible at the end of each second. */
  readonly responsibleParts: readonly number[];
  /** The most of these. */
  readonly mostResponsibleParts: number;
}

const PROMPT_TOKENS = 8200;

/** VMs know each other before the first stream arrives. */
const SETTLE_MS = 5000;

/** Time in which the last streams end. */
const TAIL_MS = 5000;

const STEP_MS = 1000;

/** Simulates VMs, which run the production code, with crashing servers in virtual time. */
export const simulateCrashes = async (
  simulation: CrashSimulation,
): Promise<CrashSimulationResult> => {
  const { durationMs, losses = [], seed, traffic, transitMs, vms } = simulation;
  const randomness = createSeededRandomness(seed);
  const names = Array.from({ length: vms }, (_, index) => `vm-${index}`);
  const { clock, gossips, histories, stop } = createGossipFleet(names, {}, undefined, {
    transitMs,
  });
  const store = createVirtualStore(clock);
  const directories: ServerDirectory[] = [];
  let version = 1;
  const applyRow = (key: string, value: Buffer | null): void => {
    version += 1;
    const origin = { source: 'store', ageMs: 0, outageEndedAtMs: null, isRestored: false } as const;
    directories.forEach((directory) => directory.applyRows([{ key, value, version }], origin));
  };
  const servers = createCrashingServers({
    clock,
    count: simulation.servers,
    crashes: simulation.crashes,
    countEvents: simulation.countEvents,
    prefillMs: simulation.prefillMs,
    eventGapMs: simulation.eventGapMs,
    eventsBeforeCrash: simulation.eventsBeforeCrash ?? 0,
    handleGone: (id) => applyRow(id, null),
    handleStarted: (id) => applyRow(id, Buffer.from('x')),
  });
  const forwarders = names.map((vm, index): Forwarder => {
    const directory = createSimulatedDirectory(clock, servers.listIds());
    directories.push(directory);
    const crashes = histories.get(vm);
    if (!crashes) throw new Error(`no crash history of ${vm}`);
    const client = servers.createClient(vm);
    const crashProbe = createCrashProbe({
      clock,
      crashes,
      log: QUIET_LOG,
      servers: {
        findServer: directory.findEntry,
        probeIdentity: (server) => client.probeIdentity(server, '/'),
        findFailureCause: async () => 'server',
        isCutFrom: () => false,
        hasAnsweredSince: directory.hasAnsweredSince,
        recordAlive: directory.recordAlive,
      },
    });
    const crashTrials = createCrashTrials({ table: 't', store, crashes, clock, log: QUIET_LOG });
    return createSimulatedForwarder({
      index,
      vms,
      client,
      clock,
      crashes,
      crashProbe,
      crashTrials,
      directory,
      randomness: createSeededRandomness(seed + index),
    });
  });
  gossips.forEach((gossip) => gossip.start());
  const startedAtMs = SETTLE_MS;
  const pickForwarder = (): Forwarder =>
    forwarders[Math.floor(randomness.readFraction() * vms)] as Forwarder;
  const streams: SimulatedStream[] = [];
  const startStream = async (
    id: string,
    parts: readonly string[],
    isLastShared: boolean,
  ): Promise<void> => {
    const stream = { atMs: clock.readMonotonicMs() - startedAtMs, parts, outcome: null };
    streams.push(stream);
    const outcome = await createSimulatedCaller({
      id,
      clock,
      deadlineMs: DEADLINE_MS,
      promptTokens: PROMPT_TOKENS,
      promptParts: [...parts, ...(isLastShared ? [] : [id])].map((part) => ({
        id: part,
        tokens: 400,
      })),
      pickForwarder,
    });
    Object.assign(stream, { outcome });
  };
  traffic.forEach(({ buildParts, fromMs, isLastShared = false, perS, untilMs }, kind) => {
    const count = Math.round((perS * (untilMs - fromMs)) / 1000);
    for (let index = 0; index < count; index += 1) {
      const atMs = fromMs + ((index + randomness.readFraction()) * 1000) / perS;
      const parts = buildParts(index);
      clock.startTimer(startedAtMs + atMs, () => {
        startStream(`${kind}-${index}`, parts, isLastShared);
      });
    }
  });
  losses.forEach(({ atMs, count }) =>
    clock.startTimer(startedAtMs + atMs, () =>
      servers.listIds().slice(0, count).forEach(servers.crash),
    ),
  );
  const endMs = startedAtMs + durationMs + TAIL_MS;
  const responsibleParts: number[] = [];
  for (let atMs = 0; atMs < endMs; atMs += STEP_MS) {
    await clock.advanceAsync(STEP_MS);
    const counts = [...histories.values()].map((history) => history.countResponsibleParts());
    responsibleParts.push(Math.max(...counts));
  }
  stop();
  return {
    arrivals: servers.arrivals.map((one) => ({ ...one, atMs: one.atMs - startedAtMs })),
    crashedAtMs: servers.crashedAtMs.map((atMs) => atMs - startedAtMs),
    requestCrashes: servers.requestCrashes.map((one) => ({ ...one, atMs: one.atMs - startedAtMs })),
    streams,
    responsibleParts,
    mostResponsibleParts: Math.max(...responsibleParts),
  };
};
