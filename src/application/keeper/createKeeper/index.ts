import { planOrders } from '../../../domain/order';
import type { EngineState, OrderPlan, PendingOrder, PlannedOrder } from '../../../domain/order';
import type { BackendServer, Configuration, EngineTarget, LoadReport } from '../../../domain/types';
import type { LeaseHolder } from '../../lease';
import type {
  Clock,
  ConfigurationView,
  DecisionLog,
  EngineClient,
  EngineError,
  EventLog,
} from '../../ports';

/** Interval of reconciliation while an engine is not in its desired state. */
export const RECONCILE_INTERVAL_MS = 1_000;
/** Minimum interval of reconciliation while all engines are in their desired state. */
export const MIN_IDLE_RECONCILE_INTERVAL_MS = 5_000;
/** Large regions reconcile less often when idle: each load report costs about 500 bytes. */
const IDLE_MS_PER_ENGINE = 150;
const RESEND_AFTER_MS = 30_000;
const SIDE_BY_SIDE_TIMEOUT_MS = 300_000;

/** Dependencies of the keeper. */
export interface KeeperDependencies {
  readonly region: string;
  readonly lease: LeaseHolder;
  readonly configuration: ConfigurationView;
  readonly engines: Pick<EngineClient, 'readLoad' | 'sendOrder'>;
  readonly clock: Clock;
  readonly decisions: DecisionLog;
  readonly log: EventLog;
  /** Maximum number of models that load at the same time, over all engines of the region. */
  readonly maxLoads: number;
}

/** Reconciles the engines of a region with their desired state while this process has the lease. */
export interface Keeper {
  start(): void;
  /** Stops sending orders; resolves when the last order was answered. */
  stop(): Promise<void>;
  /** Plan of the last reconciliation, or null if there is none under the current lease. */
  readPlan(): OrderPlan | null;
}

type OrderErrorHandlers = {
  readonly [Kind in EngineError['kind']]?: (error: Extract<EngineError, { kind: Kind }>) => void;
};

function listTargets(configuration: Configuration, region: string): readonly EngineTarget[] {
  const regionServers = new Set(
    configuration.backendServers
      .filter((server) => server.region === region)
      .map(({ name }) => name),
  );
  return configuration.engineTargets.filter(({ backendServer }) =>
    regionServers.has(backendServer),
  );
}

/** Creates the keeper of a region. */
export function createKeeper(deps: KeeperDependencies): Keeper {
  const { lease, clock, decisions, log } = deps;
  const pending = new Map<string, PendingOrder>();
  let loadsBlockedUntilMs = 0;
  let plan: OrderPlan | null = null;
  let reconciliation: Promise<void> = Promise.resolve();
  let stopped = false;
  let engineCount = 0;
  let isReconciling = false;
  let isReconcileRequested = false;
  let cancelTimer = (): void => {};
  let removeListener = (): void => {};

  const buildState = (backendServer: string, report: LoadReport | null): EngineState => ({
    backendServer,
    serving: report !== null && !report.leaving,
    models: report?.models ?? [],
    role: report?.role ?? '',
    pending: pending.get(backendServer) ?? null,
  });
  const readState = async (server: BackendServer): Promise<EngineState> => {
    const report = (await deps.engines.readLoad(server)).unwrapOr(null);
    // Engines that don't check orders still report the highest token that they received.
    if (report !== null) lease.recordObservedToken(report.fencingToken);
    return buildState(server.name, report);
  };
  const removeCompleted = (states: readonly EngineState[], current: OrderPlan): void => {
    const unfinished = new Set([
      ...current.orders.map(({ order }) => order.backendServer),
      ...current.waiting.map(({ backendServer }) => backendServer),
    ]);
    // A dead engine has lost its orders, so they must not count as running loads forever.
    states
      .filter(({ backendServer, serving }) => !serving || !unfinished.has(backendServer))
      .forEach(({ backendServer }) => pending.delete(backendServer));
  };

  const recordPending = ({ order }: PlannedOrder): void => {
    const { models, role, backendServer } = order;
    const sentAtMs = clock.readMonotonicMs();
    const previous = pending.get(backendServer);
    const isSame =
      previous !== undefined &&
      previous.role === role &&
      JSON.stringify(previous.models) === JSON.stringify(models);
    const firstSentAtMs = isSame ? previous.firstSentAtMs : sentAtMs;
    pending.set(backendServer, { models, role, sentAtMs, firstSentAtMs });
  };
  const errorHandlers: OrderErrorHandlers = {
    'stale-order': ({ fencingToken }) => lease.recordObservedToken(fencingToken),
    'not-started': ({ retryAfterMs }) => {
      loadsBlockedUntilMs = Math.max(loadsBlockedUntilMs, clock.readMonotonicMs() + retryAfterMs);
    },
  };
  const handleError = <Kind extends EngineError['kind']>(
    planned: PlannedOrder,
    error: Extract<EngineError, { kind: Kind }>,
  ): void => {
    const { backendServer } = planned.order;
    log.warn('order not confirmed', { backendServer, error: error.kind });
    const { kind } = error;
    errorHandlers[kind]?.(error);
    // The engine refused the order, so nothing runs there. After other errors it may have arrived.
    if (error.kind === 'not-started' || error.kind === 'stale-order') pending.delete(backendServer);
  };

  const sendOrder = async (server: BackendServer, planned: PlannedOrder): Promise<void> => {
    // The token is read for each order, in the same turn of the event loop as the send: since the
    // plan was made, this process may have been paused for longer than its lease.
    const fencingToken = lease.readOrderToken();
    if (fencingToken === null || stopped) return;
    recordPending(planned);
    const sent = await deps.engines.sendOrder(server, { ...planned.order, fencingToken });
    if (sent.isErr()) handleError(planned, sent.error);
  };
  const recordDecision = (planned: PlannedOrder, configurationVersion: number): void =>
    decisions.record({
      kind: 'order',
      requestId: '',
      workspace: '',
      service: '',
      candidates: [planned.order.backendServer],
      filtered: [],
      choice: planned.order.backendServer,
      reason: planned.reason,
      configurationVersion,
    });

  const reconcile = async (): Promise<void> => {
    const current = deps.configuration.readCurrent();
    if (current === null || lease.readOrderToken() === null) {
      // Another keeper may have sent unknown orders since, so the pending ones are obsolete.
      pending.clear();
      plan = null;
      return;
    }
    const targets = listTargets(current.configuration, deps.region);
    const servers = new Map(
      current.configuration.backendServers.map((server) => [server.name, server]),
    );
    const targeted = targets.flatMap(({ backendServer }) => servers.get(backendServer) ?? []);
    engineCount = targeted.length;
    const states = await Promise.all(targeted.map(readState));
    const fencingToken = lease.readOrderToken();
    if (fencingToken === null || stopped) return;
    const nowMs = clock.readMonotonicMs();
    plan = planOrders(targets, states, {
      fencingToken,
      nowMs,
      maxLoads: deps.maxLoads,
      resendAfterMs: RESEND_AFTER_MS,
      sideBySideTimeoutMs: SIDE_BY_SIDE_TIMEOUT_MS,
      loadsBlocked: nowMs < loadsBlockedUntilMs,
    });
    removeCompleted(states, plan);
    for (const planned of plan.orders) {
      const server = servers.get(planned.order.backendServer);
      recordDecision(planned, current.version);
      if (server !== undefined) await sendOrder(server, planned);
    }
  };
  const computeDelayMs = (): number => {
    if (isReconcileRequested) return 0;
    const isActive = pending.size > 0 || (plan !== null && plan.orders.length > 0);
    return isActive
      ? RECONCILE_INTERVAL_MS
      : Math.max(MIN_IDLE_RECONCILE_INTERVAL_MS, engineCount * IDLE_MS_PER_ENGINE);
  };
  const runReconcileLoop = async (): Promise<void> => {
    isReconciling = true;
    isReconcileRequested = false;
    reconciliation = reconcile();
    await reconciliation;
    isReconciling = false;
    if (!stopped) cancelTimer = clock.startTimer(computeDelayMs(), runReconcileLoop);
  };
  const scheduleReconcile = (): void => {
    isReconcileRequested = true;
    if (isReconciling || stopped) return;
    cancelTimer();
    cancelTimer = clock.startTimer(0, runReconcileLoop);
  };

  return {
    start: () => {
      removeListener = deps.configuration.addListener(scheduleReconcile);
      runReconcileLoop();
    },
    stop: async () => {
      stopped = true;
      removeListener();
      cancelTimer();
      await reconciliation;
    },
    readPlan: () => plan,
  };
}
