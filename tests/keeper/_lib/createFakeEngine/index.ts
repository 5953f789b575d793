import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Clock, EngineError } from '../../../../src/application/ports';
import type { EngineOrder, LoadedModel, LoadReport } from '../../../../src/domain/types';

const LOAD_MS = 3_000;

/** An engine in memory that takes orders. */
export interface FakeEngine {
  readonly name: string;
  readLoad(): Result<LoadReport, EngineError>;
  handleOrder(order: EngineOrder): Result<void, EngineError>;
  listModels(): readonly LoadedModel[];
  /** Orders that it took, in order. */
  readonly acceptedOrders: EngineOrder[];
  countLoading(): number;
  faults: { down: boolean; loseNextResponse: boolean; retryAfterMs: number; maxModels: number };
}

const isSame = (left: LoadedModel, right: LoadedModel): boolean =>
  left.model === right.model && left.version === right.version && left.adapter === right.adapter;

/** Creates an engine; each load takes 3 s, and is tried again while there is no room. */
export function createFakeEngine(
  name: string,
  options: {
    readonly clock: Clock;
    readonly checksFencing: boolean;
    readonly models: readonly LoadedModel[];
  },
): FakeEngine {
  const { clock, checksFencing } = options;
  const taken: EngineOrder[] = [];
  const faults = { down: false, loseNextAnswer: false, retryAfterMs: 0, room: 9 };
  let held = options.models;
  let wanted = options.models;
  let role = 'serve';
  let fencingToken = 0;
  let loading = 0;

  const load = (item: LoadedModel): void => {
    loading += 1;
    clock.startTimer(LOAD_MS, () => {
      loading -= 1;
      if (!wanted.some((other) => isSame(other, item))) return;
      if (held.length < faults.room) held = [...held, item];
      else load(item);
    });
  };
  const applyOrder = (order: EngineOrder): void => {
    taken.push(order);
    fencingToken = Math.max(fencingToken, order.fencingToken);
    role = order.role;
    const added = order.models.filter((item) => !wanted.some((other) => isSame(other, item)));
    wanted = order.models;
    held = held.filter((item) => wanted.some((other) => isSame(other, item)));
    added.forEach(load);
  };

  return {
    name,
    acceptedOrders: taken,
    faults,
    listModels: () => held,
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
            models: held,
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
      if (!faults.loseNextAnswer) return ok(undefined);
      faults.loseNextAnswer = false;
      return err({ kind: 'broken', reason: 'the answer was lost' });
    },
  };
}
