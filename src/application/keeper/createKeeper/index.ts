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

/** Time between two looks at the engines while one of them is not as desired. */
export const RECONCILE_INTERVAL_MS = 1_000;
/** Shortest time between two looks while all are as desired. */
export const MIN_IDLE_RECONCILE_INTERVAL_MS = 5_000;
/** Idle looks are spread out in large regions: each report costs some 500 bytes of the budget. */
const IDLE_MS_PER_ENGINE = 150;
const RESEND_MS = 30_000;
const BESIDE_MS = 300_000;

/** What the keeper needs. */
export interface KeeperDependencies {
  readonly region: string;
  readonly lease: LeaseHolder;
  readonly configuration: ConfigurationView;
  readonly engines: Pick<EngineClient, 'readLoad' | 'sendOrder'>;
  readonly clock: Clock;
  readonly decisions: DecisionLog;
  readonly log: EventLog;
  /** Models that may be loading at once over all engines of the region. */
  readonly maxLoads: number;
}

/** Brings the engines of a region to the desired state while it holds the lease. */
export interface Keeper {
  start(): void;
  /** Sends no more orders; done when the last one was answered. */
  stop(): Promise<void>;
  /** What the last turn found, or null before the first. */
  readPlan(): OrderPlan | null;
}

type OrderErrorHandlers = {
  readonly [Kind in EngineError['kind']]?: (error: Extract<EngineError, { kind: Kind }>) => void;
};

function listTargets(configuration: Configuration, region: string): readonly EngineTarget[] {
  const here = new Set(
    configuration.backendServers
      .filter((server) => server.region === region)
      .map(({ name }) => name),
  );
  return configuration.engineTargets.filter(({ backendServer }) => here.has(backendServer));
}

/** Creates the keeper. */
export function createKeeper(deps: KeeperDependencies): Keeper {
  const { lease, clock, decisions, log } = deps;
  const pending = new Map<string, PendingOrder>();
  let loadsBlockedUntilMs = 0;
  let plan: OrderPlan | null = null;
  let turn: Promise<void> = Promise.resolve();
  let stopped = false;
  let engineCount = 0;
  let isTurnRunning = false;
  let isTurnWanted = false;
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
    // Engines that don't check orders still tell the highest token that they were sent.
    if (report !== null) lease.recordObservedToken(report.fencingToken);
    return buildState(server.name, report);
  };
  const removeFulfilled = (states: readonly EngineState[], current: OrderPlan): void => {
    const unfinished = new Set([
      ...current.orders.map(({ order }) => order.backendServer),
      ...current.waiting.map(({ backendServer }) => backendServer),
    ]);
    // A dead engine has forgotten its orders: they must not count as loads under way for ever.
    states
      .filter(({ backendServer, serving }) => !serving || !unfinished.has(backendServer))
      .forEach(({ backendServer }) => pending.delete(backendServer));
  };

  const recordPending = ({ order }: PlannedOrder): void => {
    const { models, role, backendServer } = order;
    const sentAtMs = clock.readMonotonicMs();
    const before = pending.get(backendServer);
    const isSame =
      before !== undefined &&
      before.role === role &&
      JSON.stringify(before.models) === JSON.stringify(models);
    const firstSentAtMs = isSame ? before.firstSentAtMs : sentAtMs;
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
    // The engine refused: nothing is under way there. All else may have arrived.
    if (error.kind === 'not-started' || error.kind === 'stale-order') pending.delete(backendServer);
  };

  const sendOrder = async (server: BackendServer, planned: PlannedOrder): Promise<void> => {
    // Asked anew for each order and in the same turn of the loop as the send: between the plan and
    // now this process may have been paused past its lease.
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

  const runTurn = async (): Promise<void> => {
    const current = deps.configuration.readCurrent();
    if (current === null || lease.readOrderToken() === null) {
      // Another keeper's orders are not known here: what was pending says nothing any more.
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
      resendAfterMs: RESEND_MS,
      sideBySideTimeoutMs: BESIDE_MS,
      loadsBlocked: nowMs < loadsBlockedUntilMs,
    });
    removeFulfilled(states, plan);
    for (const planned of plan.orders) {
      const server = servers.get(planned.order.backendServer);
      recordDecision(planned, current.version);
      if (server !== undefined) await sendOrder(server, planned);
    }
  };
  const computeDelayMs = (): number => {
    if (isTurnWanted) return 0;
    const isBusy = pending.size > 0 || (plan !== null && plan.orders.length > 0);
    return isBusy
      ? RECONCILE_INTERVAL_MS
      : Math.max(MIN_IDLE_RECONCILE_INTERVAL_MS, engineCount * IDLE_MS_PER_ENGINE);
  };
  const runTurns = async (): Promise<void> => {
    isTurnRunning = true;
    isTurnWanted = false;
    turn = runTurn();
    await turn;
    isTurnRunning = false;
    if (!stopped) cancelTimer = clock.startTimer(computeDelayMs(), runTurns);
  };
  const runTurnSoon = (): void => {
    isTurnWanted = true;
    if (isTurnRunning || stopped) return;
    cancelTimer();
    cancelTimer = clock.startTimer(0, runTurns);
  };

  return {
    start: () => {
      removeListener = deps.configuration.addListener(runTurnSoon);
      runTurns();
    },
    stop: async () => {
      stopped = true;
      removeListener();
      cancelTimer();
      await turn;
    },
    readPlan: () => plan,
  };
}
