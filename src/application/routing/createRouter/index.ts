import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { acquireRetryCredit, addRetryCredit, RETRY_BURST } from '../../../domain/admission';
import { DemandPurpose, RefusalCode } from '../../../domain/types';
import type { Demand, Refusal } from '../../../domain/types';
import type {
  Clock,
  ConfigurationView,
  DecisionLog,
  HealthRegistry,
  Randomness,
  Slot,
} from '../../ports';
import { createDecisionRecorder } from '../createDecisionRecorder';
import { createServerSelector } from '../createServerSelector';
import type { SelectedServer } from '../createServerSelector';
import { createQualityTracker } from '../createQualityTracker';
import { createServerPools } from '../createServerPools';
import { createServiceMeter } from '../createServiceMeter';
import type { QueuedDemand } from '../createWaitQueue';
import { createWaitQueues } from '../createWaitQueues';
import type { RouterLoadView, ServerPool, ServingRouter } from '../types';

/** What the router needs. */
export interface RouterDependencies {
  readonly configuration: ConfigurationView;
  readonly health: HealthRegistry;
  readonly load: RouterLoadView;
  readonly decisions: DecisionLog;
  readonly clock: Clock;
  readonly randomness: Randomness;
}

/** When to come back if no server is ready: about the time in which one is replaced or probed. */
const NOT_READY_RETRY_MS = 2000;

/** Weight of a prompt token in the cost of a demand: a prefill is far quicker than a decode. */
const PROMPT_COST = 0.1;

/** Builds a refusal. */
function buildRefusal(code: RefusalCode, message: string, retryAfterMs: number): Refusal {
  return { code, message, retryAfterMs };
}

/** Describes a choice for the decision log. */
function renderChoice({ firstTokenMs, running, cachedTokens }: SelectedServer): string {
  const figures = `first token in ${firstTokenMs.toFixed(1)} ms, ${running.toFixed(1)} running`;
  return cachedTokens > 0 ? `${figures}, ${Math.round(cachedTokens)} tokens cached` : figures;
}

/**
 * Creates the router of this VM: hard filter, admission, then choice by score.
 *
 * A queue is served when a slot is given back, a report or peers' news comes, or a server's health
 * changes; never by polling.
 */
export function createRouter(dependencies: RouterDependencies): ServingRouter {
  const { configuration, load, clock, health } = dependencies;
  const meter = createServiceMeter();
  const quality = createQualityTracker({ configuration, load, clock });
  const pools = createServerPools({ health, load, quality });
  const placement = createServerSelector({ ...dependencies, meter, quality });
  const queues = createWaitQueues({ clock });
  const recorder = createDecisionRecorder(dependencies.decisions);
  let budget = { credits: RETRY_BURST };

  const refuse = (demand: Demand, pool: ServerPool, refusal: Refusal): Result<never, Refusal> => {
    const outcome = { kind: 'refuse', choice: '', reason: refusal.code } as const;
    recorder.record(demand, pool.version, pools.readReadyPool(pool), outcome);
    return err(refusal);
  };
  const trySend = ({ demand, pool }: QueuedDemand): Slot | null => {
    const ready = pools.readReadyPool(pool);
    const placed = placement.selectServer(demand, ready);
    if (placed === null) return null;
    const outcome = {
      kind: demand.purpose === DemandPurpose.Resume ? 'resume' : 'route',
      choice: placed.ready.server.name,
      reason: renderChoice(placed),
    } as const;
    recorder.record(demand, pool.version, ready, outcome);
    return placement.acquireSlot(demand, placed);
  };
  /** A waiter may only go where the configuration in force now allows it. */
  const trySendWaiting = (queued: QueuedDemand): Result<Slot, Refusal> | null => {
    const { workspace, service } = queued.demand;
    const current = configuration.readCurrent();
    if (current === null) return null;
    const pool = pools.findPool(current, workspace, service);
    if (pool.isErr()) return err(pool.error);
    const slot = trySend({ ...queued, pool: pool.value });
    return slot === null ? null : ok(slot);
  };
  const serveQueues = (): void => {
    if (queues.countWaiting() > 0) queues.serve(trySendWaiting);
  };
  const buildQueued = (demand: Demand, pool: ServerPool): QueuedDemand => {
    const { service, workspace, maxOutputTokens } = demand;
    const output = meter.predictOutputTokens(service, workspace, maxOutputTokens);
    return {
      demand,
      pool,
      cost: output + demand.promptTokens * PROMPT_COST,
      assumedIntervalMs: meter.readHoldMs(service) / Math.max(1, pools.readReadyPool(pool).slots),
    };
  };
  /** Counts a first attempt, or takes a credit for an extra one; tells whether it may be made. */
  const drawBudget = ({ purpose, excludedServers }: Demand, pool: ServerPool): boolean => {
    const isFirst = purpose === DemandPurpose.Start && excludedServers.length === 0;
    const drawn = isFirst
      ? addRetryCredit(budget, pool.limits.retryBudget)
      : acquireRetryCredit(budget, purpose);
    budget = drawn ?? budget;
    return drawn !== null;
  };
  const admit = async (
    demand: Demand,
    pool: ServerPool,
    signal: AbortSignal,
  ): Promise<Result<Slot, Refusal>> => {
    if (!drawBudget(demand, pool)) {
      const message = 'the budget of extra attempts is spent';
      const waitMs = meter.readHoldMs(demand.service);
      return refuse(demand, pool, buildRefusal(RefusalCode.RetryBudgetSpent, message, waitMs));
    }
    const ready = pools.readReadyPool(pool);
    const canServe = ready.candidates.some((name) => !demand.excludedServers.includes(name));
    if (!canServe) {
      const message = `no backend server is ready for service "${demand.service}"`;
      const refusal = buildRefusal(RefusalCode.NoReadyServer, message, NOT_READY_RETRY_MS);
      return refuse(demand, pool, refusal);
    }
    const queue = queues.findQueue(pool, demand.workClass);
    const queued = buildQueued(demand, pool);
    if (queue.countWaiting() === 0 || demand.purpose !== DemandPurpose.Start) {
      const slot = trySend(queued);
      if (slot !== null) {
        queue.recordUnqueued(queued);
        return ok(slot);
      }
    }
    if (demand.purpose === DemandPurpose.Hedge) {
      const message = 'there is no room for a hedge';
      return refuse(demand, pool, buildRefusal(RefusalCode.QueueFull, message, 0));
    }
    const room = queue.checkAdmission(queued);
    if (room.isErr()) return refuse(demand, pool, room.error);
    recorder.record(demand, pool.version, ready, {
      kind: 'queue',
      choice: '',
      reason: `${queue.countWaiting()} waiting`,
    });
    const waiting = queue.waitForSlot(queued, signal);
    serveQueues();
    const slot = await waiting;
    return slot.isErr() ? refuse(demand, pool, slot.error) : slot;
  };

  load.addListener(() => {
    quality.updateSpeeds();
    serveQueues();
  });
  const handleChange = (): void => {
    pools.invalidateReadyPools();
    serveQueues();
  };
  health.addListener(handleChange);
  quality.addListener(handleChange);
  configuration.addListener(serveQueues);

  return {
    acquireSlot: async (demand, signal) => {
      const current = configuration.readCurrent();
      if (current === null) {
        const message = 'no configuration has been read yet';
        return err(buildRefusal(RefusalCode.NoReadyServer, message, NOT_READY_RETRY_MS));
      }
      const pool = pools.findPool(current, demand.workspace, demand.service);
      if (pool.isOk()) return admit(demand, pool.value, signal);
      const outcome = { kind: 'refuse', choice: '', reason: pool.error.code } as const;
      recorder.record(demand, current.version, null, outcome);
      return err(pool.error);
    },
    estimateHedgeDelayMs: meter.estimateHedgeDelayMs,
    countWaiting: queues.countWaiting,
  };
}
