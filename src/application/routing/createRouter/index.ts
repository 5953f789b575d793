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

/** Dependencies of the router. */
export interface RouterDependencies {
  readonly configuration: ConfigurationView;
  readonly health: HealthRegistry;
  readonly load: RouterLoadView;
  readonly decisions: DecisionLog;
  readonly clock: Clock;
  readonly randomness: Randomness;
}

/** Retry-after if no server is ready: about the time to replace or probe a server. */
const NOT_READY_RETRY_MS = 2000;

/** Cost of a prompt token relative to an output token: prefill is far faster than decode. */
const PROMPT_TOKEN_COST = 0.1;

function buildRefusal(code: RefusalCode, message: string, retryAfterMs: number): Refusal {
  return { code, message, retryAfterMs };
}

/** Describes the selected server for the decision log. */
function renderChoice({ firstTokenMs, running, cachedTokens }: SelectedServer): string {
  const estimates = `first token in ${firstTokenMs.toFixed(1)} ms, ${running.toFixed(1)} running`;
  return cachedTokens > 0 ? `${estimates}, ${Math.round(cachedTokens)} tokens cached` : estimates;
}

/**
 * Creates the router of this VM: it filters the servers, applies admission control and selects a
 * server by score.
 *
 * Queues are served on events, never by polling: a slot is released, a load report or a peer's load
 * arrives, the health of a server changes, or a new configuration comes into force.
 */
export function createRouter(dependencies: RouterDependencies): ServingRouter {
  const { configuration, load, clock, health } = dependencies;
  const meter = createServiceMeter();
  const quality = createQualityTracker({ configuration, load, clock });
  const pools = createServerPools({ health, load, quality });
  const selector = createServerSelector({ ...dependencies, meter, quality });
  const queues = createWaitQueues({ clock });
  const recorder = createDecisionRecorder(dependencies.decisions);
  let retryBudget = { credits: RETRY_BURST };

  const refuse = (demand: Demand, pool: ServerPool, refusal: Refusal): Result<never, Refusal> => {
    const outcome = { kind: 'refuse', choice: '', reason: refusal.code } as const;
    recorder.record(demand, pool.version, pools.readReadyPool(pool), outcome);
    return err(refusal);
  };
  const trySend = ({ demand, pool }: QueuedDemand): Slot | null => {
    const ready = pools.readReadyPool(pool);
    const selected = selector.selectServer(demand, ready);
    if (selected === null) return null;
    const outcome = {
      kind: demand.purpose === DemandPurpose.Resume ? 'resume' : 'route',
      choice: selected.ready.server.name,
      reason: renderChoice(selected),
    } as const;
    recorder.record(demand, pool.version, ready, outcome);
    return selector.acquireSlot(demand, selected);
  };
  /** Looks up the pool again: the configuration may have changed while the demand waited. */
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
      cost: output + demand.promptTokens * PROMPT_TOKEN_COST,
      assumedIntervalMs: meter.readHoldMs(service) / Math.max(1, pools.readReadyPool(pool).slots),
    };
  };
  /** Earns credit for a first attempt or spends it for an extra one; false if it is used up. */
  const applyRetryBudget = ({ purpose, excludedServers }: Demand, pool: ServerPool): boolean => {
    const isFirstAttempt = purpose === DemandPurpose.Start && excludedServers.length === 0;
    const updated = isFirstAttempt
      ? addRetryCredit(retryBudget, pool.limits.retryBudget)
      : acquireRetryCredit(retryBudget, purpose);
    retryBudget = updated ?? retryBudget;
    return updated !== null;
  };
  const admit = async (
    demand: Demand,
    pool: ServerPool,
    signal: AbortSignal,
  ): Promise<Result<Slot, Refusal>> => {
    if (!applyRetryBudget(demand, pool)) {
      const message = 'the retry budget is exhausted';
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
      const message = 'no free slot for a hedged request';
      return refuse(demand, pool, buildRefusal(RefusalCode.QueueFull, message, 0));
    }
    const admission = queue.checkAdmission(queued);
    if (admission.isErr()) return refuse(demand, pool, admission.error);
    recorder.record(demand, pool.version, ready, {
      kind: 'queue',
      choice: '',
      reason: `${queue.countWaiting()} waiting`,
    });
    const waitingSlot = queue.waitForSlot(queued, signal);
    serveQueues();
    const slot = await waitingSlot;
    return slot.isErr() ? refuse(demand, pool, slot.error) : slot;
  };

  load.addListener(() => {
    quality.updateSpeeds();
    serveQueues();
  });
  const handleAvailabilityChange = (): void => {
    pools.invalidateReadyPools();
    serveQueues();
  };
  health.addListener(handleAvailabilityChange);
  quality.addListener(handleAvailabilityChange);
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
