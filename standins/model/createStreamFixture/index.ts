import { ok } from 'neverthrow';
import type {
  ForwardContext,
  ForwardingDependencies,
  Refusal,
} from '../../../src/application/forwarding';
import type { AttemptRequest, EventFields } from '../../../src/application/ports';
import type {
  EndedRun,
  SchedulingOutcome,
  StreamDemandOptions,
} from '../../../src/application/scheduling';
import {
  buildOpenServers,
  buildServerReport,
  createFakeClock,
  createSeededRandomness,
  UNCOUNTED_RETRY,
} from '../../fakes';
import { createSimulatedDirectory, SIMULATED_SERVICE } from '../createSimulatedDirectory';

const IDS = Array.from({ length: 6 }, (_, index) => `i-${index}`);
const HEAD = {
  status: 200,
  isVerified: true,
  pauseMs: 0,
  limitPerS: null,
  maxRejectionsPerS: null,
};

/** A stream that asked for a server. */
export interface AskedServer {
  readonly readDemand: () => StreamDemandOptions;
  readonly signal: AbortSignal;
  readonly resolve: (outcome: SchedulingOutcome) => void;
}

/** Options of a stream. */
export interface StreamFixtureOptions {
  /** Priorities of the route of the stream and of another route to the service. */
  readonly priorities?: readonly [number, number];
  readonly hasEngine?: boolean;
  readonly workspacePriority?: number | null;
  /** Waiting requests at each server. */
  readonly waiting?: readonly number[];
}

/** Creates a stream to a service with six servers, whose scheduler a test plays. */
export const createStreamFixture = (options: StreamFixtureOptions = {}) => {
  const { hasEngine = true, priorities = [0, 2], waiting = [], workspacePriority = null } = options;
  const clock = createFakeClock();
  const directory = createSimulatedDirectory(clock, IDS);
  const targets = [{ service: SIMULATED_SERVICE, weight: 1 }];
  const [route, other] = priorities.map((priority, index) => ({
    name: `r-${index}`,
    prefix: `/${index}/`,
    timeoutMs: 25_000,
    kind: 'stream',
    priority,
    latencyGoalMs: 4500,
    maxAttempts: 3,
    isPublic: false,
    resumable: true,
    targets,
  }));
  const holder = { workspace: 'w', priority: workspacePriority };
  const buildTable = (keys: readonly string[], priority = priorities[0]) => ({
    version: 1,
    routesByHost: new Map([['h', [{ ...route, priority }, other]]]),
    services: new Map([
      [SIMULATED_SERVICE, { engine: hasEngine ? { supportsKvBackup: true } : null }],
    ]),
    holdersByKey: new Map(keys.map((key) => [key, holder])),
  });
  const state = {
    table: buildTable(['k']),
    asked: [] as AskedServer[],
    queried: [] as string[],
    sent: [] as (string | null)[][],
    started: [] as string[],
    ended: [] as EndedRun[],
    refusals: [] as Refusal[],
    cancelled: 0,
    /** Whether the configuration holds all changes that are due. */
    isCurrent: true,
    paceKinds: [] as string[],
    lines: [] as EventFields[],
  };
  // A prefill delays the last event.
  async function* readBody() {
    yield Buffer.from('id: 1\ndata: x\n\n');
    for (let event = 2; event <= 10; event += 1) {
      clock.advance(event < 10 ? 50 : 300);
      yield Buffer.from(`id: ${event}\ndata: x\n\n`);
    }
  }
  const note = (message: string, fields: EventFields) => state.lines.push({ message, ...fields });
  const noop = () => undefined;
  const servers = buildOpenServers(() => directory.listServing(SIMULATED_SERVICE));
  const dependencies = {
    availabilityZone: 'z0',
    clock,
    directory,
    randomness: createSeededRandomness(1),
    log: { info: note, warn: note, error: note },
    tables: { readCurrent: () => state.table, isCurrent: () => state.isCurrent },
    client: {
      readReport: async ({ id }: { readonly id: string }) => {
        state.queried.push(id);
        return buildServerReport({ waiting: waiting[IDS.indexOf(id)] ?? 0 });
      },
      sendAttempt: async ({ backupAddress, server }: AttemptRequest) => {
        clock.advance(300);
        state.sent.push([server.id, backupAddress]);
        return ok({
          head: HEAD,
          relay: null,
          body: readBody(),
          readEnd: () => 'complete',
          recordProgress: () => undefined,
        });
      },
      dropCopy: noop,
    },
    crashes: { isEmpty: () => true, addListener: () => noop },
    quarantineRows: { isRead: () => true },
    limits: { recordAdvertisedLimit: noop },
    paths: { recordFailure: noop },
    permits: { acquirePermit: async () => ({ release: noop, finish: noop }) },
    meter: {
      recordResume: noop,
      recordRequest: noop,
      recordUnusualEnd: noop,
      recordAttemptEnd: noop,
    },
    retries: { recordRequest: noop },
    unread: { recordAnswer: noop, addAttempt: noop },
    rollouts: { openRequest: () => servers },
    reservePrompt: async () => 0,
    lender: { acquireRetry: async () => UNCOUNTED_RETRY },
    tellPrompt: noop,
    loopDelay: { startRequest: () => noop, refusesStream: () => false, readDelayMs: () => 0 },
    fleetLoad: { readLoad: () => null, recordArrival: noop },
    serverPaces: {
      isUneven: () => false,
      record: (_: unknown, { kind }: { readonly kind: string }) => state.paceKinds.push(kind),
    },
    scheduler: {
      requestServer: (_: string, readDemand: AskedServer['readDemand'], signal: AbortSignal) =>
        new Promise((resolve) => {
          readDemand();
          state.asked.push({ readDemand, signal, resolve });
          signal.addEventListener('abort', () => resolve({ kind: 'cancelled' }));
        }),
      recordStarted: (_: string, { server }: { readonly server: string }) =>
        state.started.push(server),
      recordEnded: (_: string, run: EndedRun) => state.ended.push(run),
      refuseWaiting: (reason: string, returnMs: number) =>
        state.asked.forEach(({ resolve }) => resolve({ kind: 'refuse', reason, returnMs })),
    },
  } as unknown as ForwardingDependencies;
  const left = new AbortController();
  const context = {
    request: {
      requestId: 'r',
      host: 'h',
      target: '/0/',
      arrivedAtMs: 0,
      key: 'k',
      lastEventId: null,
      tokens: { prompt: 8000, maxOutput: 800 },
      promptParts: [],
      body: Buffer.alloc(0),
    },
    route,
    service: SIMULATED_SERVICE,
    holder,
    priority: 0,
    firstArrivedAtMs: -500,
    steps: { enterStep: () => undefined, readStep: () => 'admission', readStepMs: () => 0 },
    isReturning: false,
    servers,
    reply: {
      callerLeft: left.signal,
      isOpen: () => true,
      hasSentHead: () => false,
      sendHead: noop,
      sendRefusal: (refusal: Refusal) => state.refusals.push(refusal),
      write: () => true,
      waitForDrain: async () => undefined,
      end: noop,
    },
    deadlineAtMs: 25_000,
    version: 1,
    addExitListener: () => noop,
  } as unknown as ForwardContext;
  const grant = (server: string, backup: string | null = null) =>
    state.asked.at(-1)?.resolve({
      kind: 'send',
      ticket: 'vm-1',
      server,
      backup,
      predictedMs: 1000,
      isFree: true,
      waitedMs: 40,
      cancel: () => {
        state.cancelled += 1;
      },
    });
  return { buildTable, clock, context, dependencies, grant, left, state };
};
