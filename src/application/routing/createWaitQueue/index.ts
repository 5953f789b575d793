import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import {
  compareWaiters,
  computeStartTag,
  estimateWaitMs,
  hasQueueCapacity,
  removeQueuedCost,
} from '../../../domain/admission';
import type { FairQueueState, Waiter } from '../../../domain/admission';
import { updateMovingAverage } from '../../../domain/load';
import { DemandPurpose, RefusalCode } from '../../../domain/types';
import type { Demand, Refusal } from '../../../domain/types';
import type { Clock, Slot } from '../../ports';
import type { ServerPool } from '../types';

/** Weight of a new interval between two served waiters in its moving average. */
const INTERVAL_WEIGHT = 0.1;

/** Retry-after for a full queue: the estimated time to serve this fraction of its waiters. */
const RETRY_QUEUE_FRACTION = 0.25;

/** A demand with the data that the queue needs. */
export interface QueuedDemand {
  readonly demand: Demand;
  readonly pool: ServerPool;
  /** Expected work, in tokens. */
  readonly cost: number;
  /** Interval assumed between two served waiters until one is measured, in milliseconds. */
  readonly assumedIntervalMs: number;
}

/** Tries to get a slot for a waiter: null if none is free, a refusal if it is no longer allowed. */
export type TrySend = (queued: QueuedDemand) => Result<Slot, Refusal> | null;

/** Bounded queue for one class of work and one set of places. */
export interface WaitQueue {
  /** Serves the waiters in fair-share order; pools without a free slot are skipped. */
  serve(trySend: TrySend): void;
  /** Checks whether the demand may wait: the queue has space, and the deadline allows the wait. */
  checkAdmission(queued: QueuedDemand): Result<void, Refusal>;
  /** Waits for a slot until the deadline passes or `signal` aborts. */
  waitForSlot(queued: QueuedDemand, signal: AbortSignal): Promise<Result<Slot, Refusal>>;
  /** Charges a demand that was sent without waiting to the fair share of its workspace. */
  recordUnqueued(queued: QueuedDemand): void;
  countWaiting(): number;
}

interface WaitingDemand extends Waiter, QueuedDemand {
  readonly finish: (result: Result<Slot, Refusal>) => void;
}

/** Tells whether a demand was admitted before: a resume, or a retry on another server. */
function wasAdmittedBefore({ purpose, excludedServers }: Demand): boolean {
  return purpose === DemandPurpose.Resume || excludedServers.length > 0;
}

/** Builds the refusal of a demand that cannot get a slot by its deadline. */
function buildDeadlineRefusal(message: string, retryAfterMs: number): Refusal {
  return { code: RefusalCode.DeadlineTooShort, message, retryAfterMs: Math.ceil(retryAfterMs) };
}

const ABORTED_MESSAGE = 'the request was aborted while it waited in the queue';

/** Creates a bounded queue that serves workspaces by weighted fair queueing. */
export function createWaitQueue({ clock }: { readonly clock: Clock }): WaitQueue {
  let shares: FairQueueState = { virtualTime: 0, finishTags: new Map() };
  let waiting: readonly WaitingDemand[] = [];
  let nextId = 0;
  let intervalMs = 0;
  let lastServedMs: number | null = null;

  const readInterval = ({ assumedIntervalMs }: QueuedDemand): number =>
    intervalMs > 0 ? intervalMs : assumedIntervalMs;
  const removeWaiter = (waiter: WaitingDemand): void => {
    waiting = waiting.filter((other) => other !== waiter);
  };
  const recordServed = (startTag: number): void => {
    shares = { ...shares, virtualTime: Math.max(shares.virtualTime, startTag) };
  };
  const measureInterval = (): void => {
    const nowMs = clock.readMonotonicMs();
    if (lastServedMs !== null)
      intervalMs = updateMovingAverage(intervalMs, nowMs - lastServedMs, INTERVAL_WEIGHT);
    // The idle time of an empty queue says nothing about the service rate.
    lastServedMs = waiting.length > 0 ? nowMs : null;
  };
  const assignTag = ({ demand, pool, cost }: QueuedDemand): number => {
    const tag = computeStartTag(shares, demand.workspace, pool.weight, cost);
    shares = tag.state;
    return tag.startTag;
  };

  const refuseWaiter = (waiter: WaitingDemand, refusal: Refusal): void => {
    removeWaiter(waiter);
    shares = removeQueuedCost(shares, waiter.workspace, waiter.pool.weight, waiter.cost);
    waiter.finish(err(refusal));
  };
  const rejectWaiter = (waiter: WaitingDemand, message: string): void =>
    refuseWaiter(waiter, buildDeadlineRefusal(message, readInterval(waiter)));

  return {
    serve: (trySend) => {
      // A pool without a free slot has none for the next demand, unless servers are excluded.
      const fullPools = new Set<ServerPool>();
      waiting.forEach((waiter) => {
        if (fullPools.has(waiter.pool)) return;
        const result = trySend(waiter);
        if (result === null) {
          if (waiter.demand.excludedServers.length === 0) fullPools.add(waiter.pool);
          return;
        }
        if (result.isErr()) {
          refuseWaiter(waiter, result.error);
          return;
        }
        removeWaiter(waiter);
        recordServed(waiter.startTag);
        measureInterval();
        waiter.finish(result);
      });
    },
    checkAdmission: (queued) => {
      const { demand, pool } = queued;
      if (wasAdmittedBefore(demand)) return ok();
      const interval = readInterval(queued);
      const own = waiting.filter(({ demand: other }) => other.workspace === demand.workspace);
      const hasCapacity = hasQueueCapacity({
        waiting: waiting.length,
        waitingOfWorkspace: own.length,
        maxWaiting: pool.limits.maxQueuedLong,
        relativeWeight: pool.relativeWeight,
      });
      if (!hasCapacity) {
        const message = `the queue is full for workspace "${demand.workspace}"`;
        const ahead = waiting.length * RETRY_QUEUE_FRACTION;
        const retryAfterMs = Math.ceil(estimateWaitMs(ahead, interval));
        return err({ code: RefusalCode.QueueFull, message, retryAfterMs });
      }
      const { startTag } = computeStartTag(shares, demand.workspace, pool.weight, queued.cost);
      const ahead = waiting.filter(
        (other) => other.comesFirst || other.startTag <= startTag,
      ).length;
      const excessMs =
        estimateWaitMs(ahead, interval) - (demand.deadlineMs - clock.readMonotonicMs());
      return excessMs <= 0
        ? ok()
        : err(
            buildDeadlineRefusal('the estimated wait in the queue exceeds the deadline', excessMs),
          );
    },
    waitForSlot: (queued, signal) =>
      new Promise((resolve) => {
        if (signal.aborted) {
          resolve(err(buildDeadlineRefusal(ABORTED_MESSAGE, readInterval(queued))));
          return;
        }
        const { demand } = queued;
        const id = nextId;
        nextId += 1;
        const cleanups: (() => void)[] = [];
        const waiter: WaitingDemand = {
          ...queued,
          id,
          workspace: demand.workspace,
          comesFirst: wasAdmittedBefore(demand),
          startTag: assignTag(queued),
          finish: (result) => {
            cleanups.forEach((cleanUp) => cleanUp());
            resolve(result);
          },
        };
        const handleAbort = (): void => rejectWaiter(waiter, ABORTED_MESSAGE);
        signal.addEventListener('abort', handleAbort, { once: true });
        cleanups.push(() => signal.removeEventListener('abort', handleAbort));
        const waitMs = Math.max(0, demand.deadlineMs - clock.readMonotonicMs());
        cleanups.push(
          clock.startTimer(waitMs, () =>
            rejectWaiter(waiter, 'the deadline passed while the request waited in the queue'),
          ),
        );
        if (waiting.length === 0) lastServedMs = clock.readMonotonicMs();
        waiting = [...waiting, waiter].sort(compareWaiters);
      }),
    recordUnqueued: (queued) => recordServed(assignTag(queued)),
    countWaiting: () => waiting.length,
  };
}
