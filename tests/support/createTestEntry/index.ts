import { err, ok } from 'neverthrow';
import { createCrashHistory, type CrashHistory } from '../../../src/application/crashes';
import type { SharedOutcome } from '../../../src/domain/crashes';
import { createGenerations, type StoppableGenerations } from '../../../src/application/generations';
import { createHealthRegistry } from '../../../src/application/health';
import type {
  Claims,
  Clock,
  HealthRegistry,
  PeerGenerations,
  Router,
  SlotOutcome,
} from '../../../src/application/ports';
import {
  BackendHealth,
  RefusalCode,
  type Configuration,
  type Demand,
  type GenerationRequest,
} from '../../../src/domain/types';
import {
  buildSampleConfiguration,
  createSeededRandomness,
  QUIET_LOG,
} from '../../../standins/fakes';
import type { ScriptedEngines } from '../createScriptedEngines';

/** The generations of one entry on scripted engines. */
export interface TestEntry {
  readonly generations: StoppableGenerations;
  readonly crashes: CrashHistory;
  readonly health: HealthRegistry;
  readonly demands: Demand[];
  readonly outcomes: SlotOutcome[];
}

/** Options of `createTestEntry`. */
export interface TestEntryOptions {
  readonly vm: string;
  readonly clock: Clock;
  readonly engines: ScriptedEngines;
  readonly serverNames: readonly string[];
  readonly configuration?: Partial<Configuration>;
  readonly claims?: Claims;
  readonly peers?: PeerGenerations;
  /** Tells other entries of an outcome. */
  readonly publishOutcome?: (outcome: SharedOutcome) => void;
}

const UNAVAILABLE = { kind: 'store-unavailable', reason: 'no store', retryAfterMs: 1000 } as const;

/** Claims of a store that is down. */
export const STORE_DOWN: Claims = {
  acquireClaim: async () => err(UNAVAILABLE),
  readClaim: async () => err(UNAVAILABLE),
  takeOverClaim: async () => err(UNAVAILABLE),
  updateClaim: async () => err(UNAVAILABLE),
  writeAnswer: async () => err(UNAVAILABLE),
  readAnswer: async () => err(UNAVAILABLE),
};

/** Peers that are all unreachable. */
export const NO_PEERS: PeerGenerations = {
  attachGeneration: async () => err({ kind: 'unreachable' }),
  cancelGeneration: async () => false,
  findPeerAddress: () => null,
};

/** Builds a request for the sample configuration. */
export const buildRequest = (change: Partial<GenerationRequest> = {}): GenerationRequest => ({
  requestId: 'req_1',
  workspace: 'alpha',
  service: 'review',
  endpoint: 'chat',
  stream: true,
  idempotent: true,
  idempotencyKey: '',
  maxOutputTokens: 100,
  timeoutMs: 60_000,
  body: {},
  digest: 'd1',
  promptCharacters: 400,
  prefixes: [],
  ...change,
});

/** Creates an entry whose router selects the first healthy server that is not excluded. */
export const createTestEntry = (options: TestEntryOptions): TestEntry => {
  const health = createHealthRegistry({ vm: options.vm });
  const demands: Demand[] = [];
  const outcomes: SlotOutcome[] = [];
  const sample = buildSampleConfiguration();
  const backendServers = options.serverNames.map((name) => ({
    ...sample.backendServers[0]!,
    name,
  }));
  const configuration = { ...sample, ...options.configuration, backendServers };
  const router: Router = {
    acquireSlot: async (demand) => {
      demands.push(demand);
      const server = backendServers.find(
        ({ name }) =>
          !demand.excludedServers.includes(name) &&
          health.readHealth(name) === BackendHealth.Serving,
      );
      if (!server) {
        return err({ code: RefusalCode.NoReadyServer, message: 'no server', retryAfterMs: 100 });
      }
      return ok({ server, priority: 0, release: (outcome) => outcomes.push(outcome) });
    },
  };
  const crashes = createCrashHistory({
    clock: options.clock,
    log: QUIET_LOG,
    hasAnsweredSince: () => false,
    publishOutcome: options.publishOutcome ?? (() => undefined),
    handleQuarantine: () => undefined,
  });
  const generations = createGenerations({
    vm: options.vm,
    clock: options.clock,
    randomness: createSeededRandomness(options.vm.length),
    engineClient: options.engines.client,
    router,
    health,
    claims: options.claims ?? STORE_DOWN,
    crashes,
    peers: options.peers ?? NO_PEERS,
    configuration: {
      readCurrent: () => ({
        version: 1,
        configuration,
        appliedAtMs: 0,
        appliedBy: 'test',
        comment: '',
      }),
      addListener: () => () => undefined,
    },
    decisionLog: { record: () => undefined, listDecisions: () => [] },
    eventLog: QUIET_LOG,
  });
  return { generations, crashes, health, demands, outcomes };
};
