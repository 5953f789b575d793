import type { EngineTarget, LoadedModel } from '../../types';
import { isModelReplaced } from '../isModelReplaced';
import { listMissingModels } from '../listMissingModels';
import type { EngineState, OrderOptions, OrderPlan, PlannedOrder, WaitingEngine } from '../types';

type Step =
  | { readonly kind: 'order'; readonly planned: PlannedOrder; readonly loads: number }
  | { readonly kind: 'wait'; readonly waiting: WaitingEngine }
  | { readonly kind: 'done' };

/** Intermediate target of an engine: the desired models plus those that are not yet replaced. */
interface InterimTarget {
  readonly models: readonly LoadedModel[];
  readonly role: string;
  readonly isFinal: boolean;
}

function isSameSet(left: readonly LoadedModel[], right: readonly LoadedModel[]): boolean {
  return listMissingModels(left, right).length === 0 && listMissingModels(right, left).length === 0;
}

/** Checks whether the engine failed to load the new version beside the old one in time. */
function hasSideBySideTimedOut(
  engine: EngineState,
  { nowMs, sideBySideTimeoutMs }: OrderOptions,
): boolean {
  const { pending } = engine;
  return pending !== null && nowMs - pending.firstSentAtMs >= sideBySideTimeoutMs;
}

function isServedElsewhere(
  model: string,
  backendServer: string,
  engines: ReadonlyMap<string, EngineState>,
): boolean {
  return [...engines.values()].some(
    (other) =>
      other.backendServer !== backendServer &&
      other.serving &&
      other.models.some((item) => item.model === model) &&
      // An engine with a pending order may be about to unload the model.
      other.pending === null,
  );
}

function buildInterimTarget(
  target: EngineTarget,
  engine: EngineState,
  state: {
    readonly targets: readonly EngineTarget[];
    readonly engines: ReadonlyMap<string, EngineState>;
    readonly options: OrderOptions;
  },
): InterimTarget {
  const { targets, engines, options } = state;
  const name = target.backendServer;
  const surplus = listMissingModels(engine.models, target.models);
  const kept = surplus.filter((item) => {
    // A model whose unloading was ordered is not loaded again, however late the reports are.
    if (engine.pending !== null && listMissingModels([item], engine.pending.models).length > 0) {
      return false;
    }
    if (isModelReplaced(item, name, targets, engines)) return false;
    return !(
      hasSideBySideTimedOut(engine, options) && isServedElsewhere(item.model, name, engines)
    );
  });
  // A new role may stop the serving of all loaded models, so it waits until none must be kept.
  const role = kept.length === 0 ? target.role : engine.role;
  return { models: [...target.models, ...kept], role, isFinal: kept.length === 0 };
}

function buildReason(interim: InterimTarget, loads: number): string {
  if (interim.isFinal) return loads > 0 ? `load ${loads}` : 'unload replaced models';
  return `load ${loads} beside models not yet replaced`;
}

/** Counts the models that other engines were ordered to load and have not loaded yet. */
function countLoading(engines: ReadonlyMap<string, EngineState>, except: string): number {
  return [...engines.values()]
    .filter(({ backendServer }) => backendServer !== except)
    .reduce(
      (sum, { pending, models }) => sum + listMissingModels(pending?.models ?? [], models).length,
      0,
    );
}

function planEngine(
  target: EngineTarget,
  engine: EngineState | undefined,
  state: {
    readonly targets: readonly EngineTarget[];
    readonly engines: ReadonlyMap<string, EngineState>;
    readonly options: OrderOptions;
    /** Number of model loads in orders already planned in this run. */
    readonly plannedLoads: number;
  },
): Step {
  const { engines, options } = state;
  const { backendServer } = target;
  const wait = (reason: string): Step => ({ kind: 'wait', waiting: { backendServer, reason } });
  if (engine === undefined || !engine.serving) return wait('engine does not answer or is leaving');
  const interim = buildInterimTarget(target, engine, state);
  if (isSameSet(interim.models, engine.models) && interim.role === engine.role) {
    return interim.isFinal ? { kind: 'done' } : wait('the replacement does not serve yet');
  }
  const { pending } = engine;
  const isSent =
    pending !== null && pending.role === interim.role && isSameSet(pending.models, interim.models);
  if (isSent && options.nowMs - pending.sentAtMs < options.resendAfterMs) return wait('order sent');
  const loads = listMissingModels(interim.models, engine.models).length;
  const loading = countLoading(engines, backendServer) + state.plannedLoads;
  const isOverLimit = loading > 0 && loading + loads > options.maxLoads;
  if (loads > 0 && options.loadsBlocked) return wait('the weight store asked to wait');
  if (loads > 0 && isOverLimit) return wait(`${loading} loads in progress`);
  const { models, role } = interim;
  const order = { backendServer, fencingToken: options.fencingToken, models, role };
  return { kind: 'order', planned: { order, reason: buildReason(interim, loads) }, loads };
}

/**
 * Plans the orders that bring engines closer to the desired state.
 *
 * Each order contains the complete state of its engine and is therefore idempotent. A new version
 * is loaded beside the old one, which is unloaded only when the replacement is being served. The
 * number of concurrent model loads is limited. An engine without a target gets no order.
 *
 * @param targets - desired state, from the configuration
 * @param engines - actual state
 * @param options - fencing token, time and limits
 * @returns orders to send now, and engines that must wait, with reasons
 */
export function planOrders(
  targets: readonly EngineTarget[],
  engines: readonly EngineState[],
  options: OrderOptions,
): OrderPlan {
  const byName = new Map(engines.map((engine) => [engine.backendServer, engine]));
  const orders: PlannedOrder[] = [];
  const waiting: WaitingEngine[] = [];
  let plannedLoads = 0;
  targets.forEach((target) => {
    const state = { targets, engines: byName, options, plannedLoads };
    const step = planEngine(target, byName.get(target.backendServer), state);
    if (step.kind === 'wait') waiting.push(step.waiting);
    if (step.kind !== 'order') return;
    orders.push(step.planned);
    plannedLoads += step.loads;
  });
  return { orders, waiting };
}
