import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { DemandPurpose } from '../../../domain/types';
import type { Demand, Refusal } from '../../../domain/types';
import type { Clock, Router, Slot } from '../../ports';

/**
 * Runs one leg: one of the at most two concurrent attempts of a hedged request.
 *
 * @returns the result of the leg as soon as it can be shown to the caller; `signal` cancels the leg
 * before and after that
 */
export type HedgeLeg<T, E> = (slot: Slot, signal: AbortSignal) => Promise<Result<T, E>>;

/** Result of the first leg to succeed; the caller must release its slot. */
export interface HedgeWinner<T> {
  readonly slot: Slot;
  readonly value: T;
}

/** Why there is no result: the first leg got no slot, or every leg failed. */
export type HedgeError<E> =
  | { readonly kind: 'refused'; readonly refusal: Refusal }
  | { readonly kind: 'failed'; readonly slot: Slot; readonly error: E };

/** Dependencies of hedging. */
export interface HedgeDependencies {
  readonly router: Router;
  readonly clock: Clock;
}

/** One request that may be hedged. */
export interface HedgedRequest<T, E> {
  /** Demand of the first leg. */
  readonly demand: Demand;
  /** True only for an idempotent lookup; any other request runs a single leg. */
  readonly mayHedge: boolean;
  /** Time without a result after which the second leg starts, in milliseconds. */
  readonly hedgeDelayMs: number;
  readonly signal: AbortSignal;
  readonly runLeg: HedgeLeg<T, E>;
}

interface RunningLeg<T, E> {
  readonly slot: Slot;
  readonly result: Promise<Result<T, E>>;
  cancel(): void;
}

/** Starts a leg with its own abort signal, which also follows the signal of the request. */
function startLeg<T, E>(slot: Slot, { runLeg, signal }: HedgedRequest<T, E>): RunningLeg<T, E> {
  const controller = new AbortController();
  const handleAbort = (): void => controller.abort();
  if (signal.aborted) handleAbort();
  else signal.addEventListener('abort', handleAbort, { once: true });
  return { slot, result: runLeg(slot, controller.signal), cancel: handleAbort };
}

/** Waits for the delay or the end of the leg; returns true if the leg is still running. */
function waitForDelay<T, E>(
  leg: RunningLeg<T, E>,
  delayMs: number,
  clock: Clock,
): Promise<boolean> {
  return new Promise((resolve) => {
    const cancelTimer = clock.startTimer(delayMs, () => resolve(true));
    leg.result.then(() => {
      cancelTimer();
      resolve(false);
    });
  });
}

/** Cancels the losing leg and releases its slot once it has ended. */
async function cancelLeg<T, E>(leg: RunningLeg<T, E>): Promise<void> {
  leg.cancel();
  await leg.result;
  leg.slot.release({ outcome: 'cancelled', firstTokenMs: 0, outputTokens: 0 });
}

/** Waits for the first leg that succeeds and cancels the other one. */
async function chooseWinner<T, E>(
  legs: readonly RunningLeg<T, E>[],
): Promise<Result<HedgeWinner<T>, HedgeError<E>>> {
  const settling = legs.map(async (leg) => ({ leg, result: await leg.result }));
  const first = await Promise.race(settling);
  const others = legs.filter((leg) => leg !== first.leg);
  if (first.result.isOk()) {
    others.forEach((leg) => {
      cancelLeg(leg);
    });
    return ok({ slot: first.leg.slot, value: first.result.value });
  }
  if (others.length === 0) {
    return err({ kind: 'failed', slot: first.leg.slot, error: first.result.error });
  }
  first.leg.slot.release({ outcome: 'failed', firstTokenMs: 0, outputTokens: 0 });
  return chooseWinner(others);
}

/**
 * Runs a request and, if it is hedgeable and late, a second leg on another server.
 *
 * The second leg spends retry budget and needs a free slot; without either, the first leg continues
 * alone. The first success wins, and the caller sees only the winning leg.
 *
 * @returns the winner with its slot; the caller must release the slot, also that of `failed`
 */
export async function runHedged<T, E>(
  { router, clock }: HedgeDependencies,
  request: HedgedRequest<T, E>,
): Promise<Result<HedgeWinner<T>, HedgeError<E>>> {
  const { demand, signal, hedgeDelayMs } = request;
  const firstSlot = await router.acquireSlot(demand, signal);
  if (firstSlot.isErr()) return err({ kind: 'refused', refusal: firstSlot.error });
  const first = startLeg(firstSlot.value, request);
  if (!request.mayHedge || !(await waitForDelay(first, hedgeDelayMs, clock))) {
    return chooseWinner([first]);
  }
  const excludedServers = [...demand.excludedServers, first.slot.server.name];
  const hedgeDemand = { ...demand, purpose: DemandPurpose.Hedge, excludedServers };
  const secondSlot = await router.acquireSlot(hedgeDemand, signal);
  if (secondSlot.isErr()) return chooseWinner([first]);
  return chooseWinner([first, startLeg(secondSlot.value, request)]);
}
