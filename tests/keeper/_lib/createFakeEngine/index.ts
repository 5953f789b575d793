import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Clock, EngineError } from '../../../../src/application/ports';
import type { EngineOrder, LoadedModel, LoadReport } from '../../../../src/domain/types';

const LOAD_MS = 3_000;

/** An in-memory engine that accepts orders. */
export interface FakeEngine {
  readonly name: string;
  readLoad(): Result<LoadReport, EngineError>;
  handleOrder(order: EngineOrder): Result<void, EngineError>;
  listModels(): readonly LoadedModel[];
  /** Accepted orders, oldest first. */
  readonly acceptedOrders: EngineOrder[];
  countLoading(): number;
  faults: { down: boolean; loseNextResponse: boolean; retryAfterMs: number; maxModels: number };
}

const isSame = (left: LoadedModel, right: LoadedModel): boolean =>
  left.model === right.model && left.version === right.version && left.adapter === right.adapter;

/** Creates an engine. Each load takes 3 s and is retried while the engine is at its capacity. */
export function createFakeEngine(
  name: string,
  options: {
    readonly clock: Clock;
    readonly checksFencing: boolean;
    readonly models: readonly LoadedModel[];
  },
): FakeEngine {
  const { clock, checksFencing } = options;
  const acceptedOrders: EngineOrder[] = [];
  const faults = { down: false, loseNextResponse: false, retryAfterMs: 0, maxModels: 9 };
  let loadedModels = options.models;
  let desiredModels = options.models;
  let role = 'serve';
  let fencingToken = 0;
  let loading = 0;

  const load = (item: LoadedModel): void => {
    loading += 1;
    clock.startTimer(LOAD_MS, () => {
      loading -= 1;
      if (!desiredModels.some((other) => isSame(other, item))) return;
      if (loadedModels.length < faults.maxModels) loadedModels = [...loadedModels, item];
      else load(item);
    });
  };
  const applyOrder = (order: EngineOrder): void => {
    acceptedOrders.push(order);
    fencingToken = Math.max(fencingToken, order.fencingToken);
    role = order.role;
    const added = order.models.filter(
      (item) => !desiredModels.some((other) => isSame(other, item)),
    );
    desiredModels = order.models;
    loadedModels = loadedModels.filter((item) =>
      desiredModels.some((other) => isSame(other, item)),
    );
    added.forEach(load);
  };

  return {
    name,
    acceptedOrders,
    faults,
    listModels: () => loadedModels,
    countLoading: () => loading,
    readLoad: () =>
      faults.down
        ? err({ kind: 'broken', reason: 'down' })
        : ok({
            backendServer: name,
            sequence: 1,
            running: 0,
            waiting: 0,
            slots: 8,
            cacheUse: 0,
            tokensPerSecond: 0,
            models: loadedModels,
            role,
            leaving: false,
            fencingToken,
            ageMs: 0,
            receivedAtMs: clock.readMonotonicMs(),
          }),
    handleOrder: (order) => {
      if (faults.down) return err({ kind: 'broken', reason: 'down' });
      if (faults.retryAfterMs > 0) {
        return err({ kind: 'not-started', reason: '429', retryAfterMs: faults.retryAfterMs });
      }
      if (checksFencing && order.fencingToken < fencingToken) {
        return err({ kind: 'stale-order', fencingToken });
      }
      applyOrder(order);
      if (!faults.loseNextResponse) return ok(undefined);
      faults.loseNextResponse = false;
      return err({ kind: 'broken', reason: 'the response was lost' });
    },
  };
}
