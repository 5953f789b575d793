import type {
  BackendHealth,
  BackendServer,
  Configuration,
  Demand,
  RoutingDecision,
  WorkClass,
} from '../../../../domain/types';
import { createLoadView } from '../../createLoadView';
import { createRouter } from '../../createRouter';

const NEVER = new AbortController().signal;

/** Builds a backend server for tests. */
export const buildServer = (
  name: string,
  services: readonly string[],
  slots: number,
): BackendServer => ({
  name,
  url: 'http://127.0.0.1:1',
  region: 'r',
  availabilityZone: 'z',
  services,
  slots,
  checksFencing: true,
});
/** Builds a configuration for tests: one place, two workspaces, a lookup and a long service. */
export const buildConfiguration = (
  backendServers: readonly BackendServer[],
  maxQueuedLong: number,
): Configuration => ({
  deployment: 'test',
  survival: 'latency',
  places: [{ name: 'home', region: 'r', availabilityZones: ['z'] }],
  services: (['lookup', 'long'] as readonly WorkClass[]).map((workClass) => ({
    name: workClass,
    kind: 'model',
    workClass,
    model: workClass,
    modelVersion: '',
    adapter: '',
    idempotent: true,
    timeoutMs: 1000,
    maxOutputTokens: 100,
  })),
  backendServers,
  workspaces: ['large', 'small'].map((name) => ({
    name,
    keyDigests: [],
    services: ['lookup', 'long'],
    places: ['home'],
    weight: 1,
  })),
  placementRules: [],
  engineTargets: [],
  limits: {
    maxBodyBytes: 1,
    maxQueuedLong,
    lookupReserve: 0.25,
    retryBudget: 0.1,
    drainMs: 1,
    answerTtlMs: 1,
    detachedMs: 1,
  },
});

/** Creates a router on fakes for tests; the clock moves only through `advance`. */
export const createRouterFixture = (servers: readonly BackendServer[], maxQueuedLong = 10) => {
  let nowMs = 0;
  let current = { version: 1, configuration: buildConfiguration(servers, maxQueuedLong) };
  const timers = new Set<{ readonly atMs: number; readonly callback: () => void }>();
  const clock = {
    readWallMs: () => nowMs,
    readMonotonicMs: () => nowMs,
    readIdleMs: () => nowMs,
    startTimer: (delayMs: number, callback: () => void) => {
      const timer = { atMs: nowMs + delayMs, callback };
      timers.add(timer);
      return () => timers.delete(timer);
    },
  };
  const healths = new Map<string, BackendHealth>();
  const healthListeners: ((name: string, health: BackendHealth) => void)[] = [];
  const versionListeners: ((value: never) => void)[] = [];
  const decisions: RoutingDecision[] = [];
  const load = createLoadView({ clock });
  const router = createRouter({
    configuration: {
      readCurrent: () => ({ ...current, appliedAtMs: 0, appliedBy: '', comment: '' }),
      addListener: (listener) => {
        versionListeners.push(listener);
        return () => {};
      },
    },
    health: {
      readHealth: (name) => healths.get(name) ?? 'serving',
      recordSuspicion: () => {},
      recordRecovery: () => {},
      recordLeaving: () => {},
      listSuspicions: () => [],
      addListener: (listener) => {
        healthListeners.push(listener);
        return () => {};
      },
    },
    load,
    decisions: { record: (decision) => decisions.push(decision), listDecisions: () => decisions },
    clock,
    randomness: { readFraction: () => 0, readHex: () => '' },
  });
  return {
    load,
    decisions,
    router,
    acquire: (service: WorkClass, change: Partial<Demand> = {}, signal = NEVER) =>
      router.acquireSlot(
        {
          requestId: `req-${decisions.length}`,
          workspace: 'large',
          service,
          workClass: service,
          purpose: 'start',
          prefixes: [],
          promptTokens: 100,
          maxOutputTokens: 100,
          excludedServers: [],
          deadlineMs: nowMs + 60_000,
          ...change,
        },
        signal,
      ),
    setHealth: (name: string, health: BackendHealth) => {
      healths.set(name, health);
      healthListeners.forEach((listener) => listener(name, health));
    },
    apply: (configuration: Configuration) => {
      current = { version: current.version + 1, configuration };
      versionListeners.forEach((listener) => listener(undefined as never));
    },
    advance: (ms: number) => {
      nowMs += ms;
      [...timers]
        .filter(({ atMs }) => atMs <= nowMs)
        .forEach((timer) => timers.delete(timer) && timer.callback());
    },
  };
};
