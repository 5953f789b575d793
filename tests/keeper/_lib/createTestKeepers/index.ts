import { createKeeper } from '../../../../src/application/keeper';
import type { Keeper } from '../../../../src/application/keeper';
import { createLeaseHolder } from '../../../../src/application/lease';
import type { LeaseHolder } from '../../../../src/application/lease';
import type { EngineClient } from '../../../../src/application/ports';
import type {
  BackendServer,
  Configuration,
  EngineTarget,
  LoadedModel,
  VersionedConfiguration,
} from '../../../../src/domain/types';
import {
  createFakeClock,
  createMemoryTableStore,
  createSeededRandomness,
} from '../../../../standins/fakes';
import type { FakeClock, MemoryTableStore } from '../../../../standins/fakes';
import { createPausableClock } from '../../../_lib/createPausableClock';
import type { PausableClock } from '../../../_lib/createPausableClock';
import { createFakeEngine } from '../createFakeEngine';
import type { FakeEngine } from '../createFakeEngine';

/** A keeper process of a test. */
export interface TestKeeper {
  readonly clock: PausableClock;
  readonly lease: LeaseHolder;
  readonly keeper: Keeper;
  start(): void;
}

/** Two keepers that control the same engines. */
export interface TestKeepers {
  readonly clock: FakeClock;
  readonly table: MemoryTableStore;
  readonly keepers: readonly [TestKeeper, TestKeeper];
  readonly engines: readonly FakeEngine[];
  /** Applies engine targets at both keepers. */
  applyTargets(targets: readonly EngineTarget[]): void;
  /** Delays the response to the next order until the returned function is called. */
  delayNextResponse(): () => void;
  /** Advances time in steps and calls `check` after each. */
  advance(durationMs: number, check?: () => void): Promise<void>;
}

const STEP_MS = 250;
const LOG = { info: () => {}, warn: () => {}, error: () => {} };
const LIMITS = {
  maxBodyBytes: 1,
  maxQueuedLong: 1,
  lookupReserve: 0,
  retryBudget: 0,
  drainMs: 1,
  answerTtlMs: 1,
  detachedMs: 1,
};

function buildServer(name: string): BackendServer {
  return {
    name,
    url: `http://${name}`,
    region: 'gt',
    availabilityZone: 'gt-1',
    services: [],
    slots: 8,
    checksFencing: true,
  };
}

/** Creates two keepers and their engines; each engine starts with `models` loaded. */
export function createTestKeepers(options: {
  readonly engineNames: readonly string[];
  readonly models: readonly LoadedModel[];
  readonly checksFencing: boolean;
  readonly maxLoads: number;
}): TestKeepers {
  const clock = createFakeClock();
  const table = createMemoryTableStore();
  const engines = options.engineNames.map((name) => createFakeEngine(name, { ...options, clock }));
  const byName = new Map(engines.map((engine) => [engine.name, engine]));
  const listeners = new Set<(current: VersionedConfiguration) => void>();
  let current: VersionedConfiguration | null = null;
  let pendingResponse: Promise<void> | null = null;

  const engineClient: Pick<EngineClient, 'readLoad' | 'sendOrder'> = {
    readLoad: async ({ name }) => byName.get(name)!.readLoad(),
    sendOrder: async ({ name }, order) => {
      const answer = byName.get(name)!.handleOrder(order);
      const pending = pendingResponse;
      pendingResponse = null;
      await pending;
      return answer;
    },
  };
  const createTestKeeper = (vm: string): TestKeeper => {
    const ownClock = createPausableClock(clock);
    const randomness = createSeededRandomness(vm.charCodeAt(0));
    const shared = { region: 'gt', clock: ownClock, log: LOG };
    const lease = createLeaseHolder({ ...shared, vm, table, randomness });
    const keeper = createKeeper({
      ...shared,
      lease,
      configuration: {
        readCurrent: () => current,
        addListener: (listener) => {
          listeners.add(listener);
          return () => listeners.delete(listener);
        },
      },
      engines: engineClient,
      decisions: { record: () => {}, listDecisions: () => [] },
      maxLoads: options.maxLoads,
    });
    const start = (): void => {
      lease.start();
      keeper.start();
    };
    return { clock: ownClock, lease, keeper, start };
  };
  const keepers = [createTestKeeper('a'), createTestKeeper('b')] as const;

  return {
    clock,
    table,
    keepers,
    engines,
    applyTargets: (engineTargets) => {
      const configuration: Configuration = {
        deployment: 'test',
        survival: 'latency',
        places: [],
        services: [],
        backendServers: options.engineNames.map(buildServer),
        workspaces: [],
        placementRules: [],
        engineTargets,
        limits: LIMITS,
      };
      const version = (current?.version ?? 0) + 1;
      const next = { version, configuration, appliedAtMs: 0, appliedBy: 'test', comment: '' };
      current = next;
      listeners.forEach((listener) => listener(next));
    },
    delayNextResponse: () => {
      let release = (): void => {};
      pendingResponse = new Promise((resolve) => {
        release = resolve;
      });
      return () => release();
    },
    advance: async (durationMs, check = () => {}) => {
      for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
        keepers.forEach(({ clock: ownClock }) => ownClock.runDelayed());
        await clock.advanceAsync(STEP_MS);
        check();
      }
    },
  };
}
