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

/** Weight of a new interval between two served waiters. */
const INTERVAL_WEIGHT = 0.1;

/** A caller that was told that the queue is full comes back when this part of it was served. */
const RETRY_QUEUE_PART = 0.25;

/** A demand with what the queue needs of it. */
export interface QueuedDemand {
  readonly demand: Demand;
  readonly pool: ServerPool;
  /** Expected work, in tokens. */
  readonly cost: number;
  /** Interval assumed between two served waiters until one is measured, in milliseconds. */
  readonly assumedIntervalMs: number;
}

/** Tries to give a waiter its slot: null if there is no room, a refusal if it lost its leave. */
export type TrySend = (queued: QueuedDemand) => Result<Slot, Refusal> | null;

/** A bounded queue of one class of work within one set of places. */
export interface WaitQueue {
  /** Serves in order of fair share as long as `trySend` gives slots. */
  serve(trySend: TrySend): void;
  /** Checks whether the demand may wait; a refusal is final and comes at once. */
  checkAdmission(queued: QueuedDemand): Result<void, Refusal>;
  /** Waits for a slot until the deadline or the caller's signal. */
  waitForSlot(queued: QueuedDemand, signal: AbortSignal): Promise<Result<Slot, Refusal>>;
  /** Counts work that was sent without waiting, so that it weighs on the share too. */
  recordUnqueued(queued: QueuedDemand): void;
  countWaiting(): number;
}

interface WaitingDemand extends Waiter, QueuedDemand {
  readonly finish: (result: Result<Slot, Refusal>) => void;
}

/** Tells whether a demand was let in before: a resume, or a retry elsewhere. */
function hadItsTurn({ purpose, excludedServers }: Demand): boolean {
  return purpose === DemandPurpose.Resume || excludedServers.length > 0;
}

/** Builds the refusal of a demand whose time ran out. */
function buildLateRefusal(message: string, retryAfterMs: number): Refusal {
  return { code: RefusalCode.DeadlineTooShort, message, retryAfterMs: Math.ceil(retryAfterMs) };
}

/** Creates a bounded queue that serves workspaces by weighted fair shares. */
export function createWaitQueue({ clock }: { readonly clock: Clock }): WaitQueue {
  let shares: FairQueueState = { virtualTime: 0, finishTags: new Map() };
  let waiting: readonly WaitingDemand[] = [];
  let nextId = 0;
  let intervalMs = 0;
  let servedMs: number | null = null;

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
    if (servedMs !== null)
      intervalMs = updateMovingAverage(intervalMs, nowMs - servedMs, INTERVAL_WEIGHT);
    // The time from an empty queue to the next waiter says nothing about the rate.
    servedMs = waiting.length > 0 ? nowMs : null;
  };
  const addTag = ({ demand, pool, cost }: QueuedDemand): number => {
    const tag = computeStartTag(shares, demand.workspace, pool.weight, cost);
    shares = tag.state;
    return tag.startTag;
  };

  const giveUp = (waiter: WaitingDemand, message: string): void => {
    removeWaiter(waiter);
    shares = removeQueuedCost(shares, waiter.workspace, waiter.pool.weight, waiter.cost);
    waiter.finish(err(buildLateRefusal(message, readInterval(waiter))));
  };

  return {
    serve: (trySend) => {
      // Demands of one pool are alike: once one found no room, the next ones need not try.
      const full = new Set<ServerPool>();
      waiting.forEach((waiter) => {
        if (full.has(waiter.pool)) return;
        const outcome = trySend(waiter);
        if (outcome === null) {
          if (waiter.demand.excludedServers.length === 0) full.add(waiter.pool);
          return;
        }
        removeWaiter(waiter);
        recordServed(waiter.startTag);
        measureInterval();
        waiter.finish(outcome);
      });
    },
    checkAdmission: (queued) => {
      const { demand, pool } = queued;
      if (hadItsTurn(demand)) return ok();
      const interval = readInterval(queued);
      const own = waiting.filter(({ demand: other }) => other.workspace === demand.workspace);
      const hasRoom = hasQueueCapacity({
        waiting: waiting.length,
        waitingOfWorkspace: own.length,
        maxWaiting: pool.limits.maxQueuedLong,
        relativeWeight: pool.relativeWeight,
      });
      if (!hasRoom) {
        const message = `the queue is full for workspace "${demand.workspace}"`;
        const ahead = waiting.length * RETRY_QUEUE_PART;
        const retryAfterMs = Math.ceil(estimateWaitMs(ahead, interval));
        return err({ code: RefusalCode.QueueFull, message, retryAfterMs });
      }
      const { startTag } = computeStartTag(shares, demand.workspace, pool.weight, queued.cost);
      const ahead = waiting.filter(
        (other) => other.comesFirst || other.startTag <= startTag,
      ).length;
      const lateMs =
        estimateWaitMs(ahead, interval) - (demand.deadlineMs - clock.readMonotonicMs());
      return lateMs <= 0
        ? ok()
        : err(buildLateRefusal('the queue is longer than the deadline allows', lateMs));
    },
    waitForSlot: (queued, signal) =>
      new Promise((resolve) => {
        const { demand } = queued;
        const id = nextId;
        nextId += 1;
        const cleanups: (() => void)[] = [];
        const waiter: WaitingDemand = {
          ...queued,
          id,
          workspace: demand.workspace,
          comesFirst: hadItsTurn(demand),
          startTag: addTag(queued),
          finish: (result) => {
            cleanups.forEach((cleanUp) => cleanUp());
            resolve(result);
          },
        };
        const handleAbort = (): void => giveUp(waiter, 'the caller gave up while waiting');
        signal.addEventListener('abort', handleAbort, { once: true });
        cleanups.push(() => signal.removeEventListener('abort', handleAbort));
        const waitMs = Math.max(0, demand.deadlineMs - clock.readMonotonicMs());
        cleanups.push(
          clock.startTimer(waitMs, () => giveUp(waiter, 'the deadline passed in the queue')),
        );
        if (waiting.length === 0) servedMs = clock.readMonotonicMs();
        waiting = [...waiting, waiter].sort(compareWaiters);
      }),
    recordUnqueued: (queued) => recordServed(addTag(queued)),
    countWaiting: () => waiting.length,
  };
}
