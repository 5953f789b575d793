import type { CrashHistory, CrashProbe, CrashTrials } from '../../../src/application/crashes';
import {
  createForwarder,
  createRetryBudget,
  createRetryLender,
  createUnreadAttempts,
  type Forwarder,
  type ForwardingDependencies,
  type ServerDirectory,
} from '../../../src/application/forwarding';
import { createServerLimits } from '../../../src/application/limits';
import type { ServerPaths } from '../../../src/application/paths';
import { createServerPaces } from '../../../src/application/paces';
import type { Clock, ForwardClient, Randomness } from '../../../src/application/ports';
import type { SchedulerClient } from '../../../src/application/scheduling';
import { createRolloutRegistry } from '../../../src/application/rollouts';
import { RouteKind, type RouteTable } from '../../../src/domain/forwarding';
import { countFixedRetries } from '../../../src/domain/retry';
import { createInactiveScheduler, NO_RETRY_METER, QUIET_LOG } from '../../fakes';
import { SIMULATED_SERVICE, SIMULATED_ZONE_COUNT } from '../createSimulatedDirectory';

/** One of the simulated gateways, and what it shares with the others. */
export interface SimulatedForwarderOptions {
  /** Number of the VM, from 0, which decides its zone. */
  readonly index: number;
  /** Replacements of parts. */
  readonly overrides?: Partial<ForwardingDependencies>;
  readonly vms: number;
  readonly client: ForwardClient;
  readonly clock: Clock;
  readonly crashes: CrashHistory;
  readonly crashProbe?: CrashProbe;
  readonly crashTrials?: CrashTrials;
  readonly directory: ServerDirectory;
  readonly paths?: Pick<ServerPaths, 'recordFailure'>;
  readonly randomness: Randomness;
  readonly scheduler?: SchedulerClient;
  readonly table?: RouteTable;
  readonly tellPrompt?: (server: string, tokens: number) => void;
}

/** Goal for the first event of a simulated stream. */
export const FIRST_EVENT_GOAL_MS = 4500;

/** Deadline of a simulated stream. */
export const DEADLINE_MS = 25_000;

/** Table with one route of streams to the simulated service. */
export const SIMULATED_TABLE: RouteTable = {
  version: 1,
  routesByHost: new Map([
    [
      'h',
      [
        {
          name: 'r',
          host: 'h',
          prefix: '/p/',
          kind: RouteKind.Stream,
          resumable: true,
          timeoutMs: DEADLINE_MS,
          latencyGoalMs: FIRST_EVENT_GOAL_MS,
          gapGoalMs: 700,
          priority: 1,
          maxAttempts: 5,
          isPublic: true,
          targets: [{ service: SIMULATED_SERVICE, weight: 1 }],
        },
      ],
    ],
  ]),
  services: new Map([
    [SIMULATED_SERVICE, { name: SIMULATED_SERVICE, healthPath: '/', engine: null }],
  ]),
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  holdersByKey: null,
};

/** Creates a forwarder, which runs the production code, with simulated surroundings. */
export const createSimulatedForwarder = ({
  client,
  clock,
  crashes,
  crashProbe = { startProbe: () => undefined, startRecheck: () => undefined },
  crashTrials = { acquireTrial: async () => false },
  directory,
  index,
  overrides = {},
  paths = { recordFailure: () => undefined },
  randomness,
  scheduler = createInactiveScheduler(),
  table = SIMULATED_TABLE,
  tellPrompt = () => undefined,
  vms,
}: SimulatedForwarderOptions): Forwarder => {
  const bounds = { retryRatio: 0.8, retryWindowMs: 10_000, retryExtra: 150 };
  const retries = createRetryBudget({
    bounds,
    clock,
    countFixed: () => countFixedRetries(bounds) / vms,
    meter: NO_RETRY_METER,
  });
  return createForwarder({
    availabilityZone: `z${index % SIMULATED_ZONE_COUNT}`,
    client,
    clock,
    crashes,
    crashProbe,
    crashTrials,
    quarantineRows: { isRead: () => true },
    directory,
    loopDelay: {
      startRequest: () => () => undefined,
      refusesStream: () => false,
      readDelayMs: () => 0,
    },
    fleetLoad: { readLoad: () => null, recordArrival: () => undefined },
    limits: createServerLimits({ clock, log: QUIET_LOG, publishLimit: () => undefined }),
    paths,
    permits: {
      acquirePermit: async () => ({ release: () => undefined, finish: () => undefined }),
    },
    log: QUIET_LOG,
    meter: {
      recordRequest: () => undefined,
      recordAttemptEnd: () => undefined,
      recordUnusualEnd: () => undefined,
      recordCrashRefusal: () => undefined,
      recordResume: () => undefined,
      recordServerPace: () => undefined,
    },
    randomness,
    retries,
    unread: createUnreadAttempts({ clock, log: QUIET_LOG }),
    serverPaces: createServerPaces({ clock }),
    rollouts: createRolloutRegistry({
      decodeOrder: () => null,
      bounds: { trialRatio: 0.1, trialExtra: 50 },
      listServing: directory.listServing,
      readShare: () => 1 / vms,
      clock,
      log: QUIET_LOG,
      randomness,
      broadcastVerdict: () => undefined,
      handleChange: () => undefined,
      handleEvidence: () => undefined,
    }),
    scheduler,
    lender: createRetryLender({
      clock,
      retries,
      log: QUIET_LOG,
      meter: NO_RETRY_METER,
      pickPeers: () => [],
      askPeer: async () => false,
      notifyReturned: () => undefined,
      randomness,
    }),
    tables: {
      readCurrent: () => table,
      isCurrent: () => true,
      applyRows: () => undefined,
      addListener: () => undefined,
    },
    reservePrompt: async () => 0,
    tellPrompt,
    ...overrides,
  });
};
