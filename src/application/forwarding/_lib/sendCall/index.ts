import {
  computeAttemptMs,
  RouteKind,
  type FleetReader,
  type ServerStatus,
} from '../../../../domain/forwarding';
import { computeRoomWaitMs } from '../../../../domain/limits';
import type { EventFields } from '../../../ports';
import type { ForwardContext, ForwardingDependencies, Refusal } from '../../types';
import { chooseCallServer } from '../chooseCallServer';
import { buildQuarantineRefusal } from '../buildQuarantineRefusal';
import { buildFleetReader } from '../buildFleetReader';
import { buildPaceReader } from '../buildPaceReader';
import { createRequestCrashTracker } from '../../../crashes';
import { createRepeatReservation } from '../createRepeatReservation';
import { createRequestArrivals } from '../../createRequestArrivals';
import { logAttemptEnd } from '../logAttemptEnd';
import { skipRateLimited } from '../skipRateLimited';
import { recordArrival } from '../recordArrival';
import { recordServerPace } from '../recordServerPace';
import { logDecision } from '../logDecision';
import { sendCallAttempt, type BufferedResponse } from '../sendCallAttempt';

/** Maximum number of servers that may refuse the call while the caller waits. */
const MAX_REFUSALS = 6;

const RETRY_AFTER_MS = 150;

const RATE_LIMIT_REASON = 'all servers have reached their limits';

const formatFleetFields = (fleet: FleetReader, { entry }: ServerStatus): EventFields => ({
  others: Math.round(fleet.countOthers(entry) * 10) / 10,
  fleetAgeMs: Math.round(fleet.ageMs),
});

/** A call that is being forwarded. */
export interface CallRun {
  /** Whether a server may have run it. */
  readonly hasArrived: boolean;
  /** The newest answer of a server that failed. */
  readonly failedResponse: BufferedResponse | null;
  /** Aborts once the call has ended. */
  readonly ended: AbortSignal;
}

/** Sends the buffered response of a server. */
export const sendResponse = ({ reply }: ForwardContext, { body, head }: BufferedResponse): void =>
  reply.sendResponse(head, body);

/** Refuses a call, with a log line. */
export const refuseCall = (
  dependencies: ForwardingDependencies,
  context: ForwardContext,
  refusal: Refusal,
): string => {
  logDecision(dependencies, context, 'call refused', { ...refusal });
  context.reply.sendRefusal(refusal);
  return refusal.kind;
};

/**
 * Sends a call to servers until one answers it. What it waited for when the call ended is ignored.
 *
 * @returns the outcome, for the metrics
 */
export const sendCall = async (
  dependencies: ForwardingDependencies,
  context: ForwardContext,
  call: CallRun,
): Promise<string> => {
  const { clock, directory, fleetLoad, permits, serverPaces } = dependencies;
  const { deadlineAtMs, reply, route, servers, service, steps } = context;
  const isRepeatable = route.kind === RouteKind.Repeatable;
  const excludedIds = new Set<string>();
  const crashes = createRequestCrashTracker(
    dependencies,
    context.request,
    context.holder?.workspace ?? null,
  );
  /** True if the call is not sent now; it may become the trial that is due. */
  const isRefused = (): boolean => (crashes.findCause()?.remainingMs ?? 0) > 0;
  /** Resolves with true if the call may be sent: each trial is one attempt. */
  const acquireSending = async (): Promise<boolean> => {
    const cause = crashes.findCause();
    if (cause) steps.enterStep('trial');
    return cause === null || dependencies.crashTrials.acquireTrial(cause);
  };
  let startedAttempts = 0;
  let refusals = 0;
  const arrivals = createRequestArrivals(dependencies);
  const reservation = createRepeatReservation(dependencies.lender, service, call.ended);
  /** Acquires what an attempt at another server needs; resolves with false if there can be none. */
  const reserveNext = async (presentId: string): Promise<boolean> => {
    const isOther = ({ entry: { id }, isFull }: ServerStatus): boolean =>
      !isFull && id !== presentId && !excludedIds.has(id);
    return servers.list().some(isOther) && !isRefused() && reservation.reserveRetry();
  };
  /** Time spent on asking for permits. */
  let waitedMs = 0;
  let lastReason = 'no server takes work';

  for (let attempt = 1; reply.isOpen(); attempt += 1) {
    const leftMs = deadlineAtMs - clock.readMonotonicMs();
    if (leftMs <= 1) {
      if (call.failedResponse) break;
      const kind = startedAttempts === 0 && attempt === 1 ? 'not-run' : 'deadline-passed';
      return refuseCall(dependencies, context, { kind, reason: lastReason, retryAfterMs: 0 });
    }
    if (isRefused()) break;
    const readPace = buildPaceReader(serverPaces, service, 'callMs');
    const fleet = buildFleetReader(fleetLoad, serverPaces, service);
    const isRepeat = arrivals.countSent() > 0;
    const choice = { readPace, fleet, excludedIds, isRepeat };
    const status = chooseCallServer(dependencies, context, choice);
    if (!status) break;
    const askedAtMs = clock.readMonotonicMs();
    steps.enterStep('permit');
    const permit = await permits.acquirePermit(status.entry.id, {
      leftMs,
      waitMs: computeRoomWaitMs({ leftMs, waitedMs, latencyGoalMs: route.latencyGoalMs }),
    });
    waitedMs += clock.readMonotonicMs() - askedAtMs;
    if (typeof permit === 'number') {
      skipRateLimited(dependencies, context, status.entry, permit);
      excludedIds.add(status.entry.id);
      lastReason = RATE_LIMIT_REASON;
      continue;
    }
    if (isRepeat) steps.enterStep('retry');
    const retry = isRepeat ? await reservation.acquireRetry() : null;
    if (isRepeat && !retry) {
      permit.release();
      lastReason = `no retry left after: ${lastReason}`;
      break;
    }
    // Asking other VMs took time: the deadline may have passed, or the caller may have
    // disconnected.
    const remainingMs = deadlineAtMs - clock.readMonotonicMs();
    const isStillNeeded = remainingMs > 1 && reply.isOpen();
    const isGranted = isStillNeeded && (await acquireSending());
    // The server may have announced meanwhile that it leaves.
    const isServing = directory.findServing(status.entry.id) !== null;
    if (!isGranted || !isServing || call.ended.aborted) {
      permit.release();
      retry?.release();
      if (isStillNeeded && !isGranted) break;
      continue;
    }
    const isLast = startedAttempts + 1 >= route.maxAttempts;
    const slowness = readPace?.(status.entry).slowness ?? 1;
    const { latencyGoalMs } = route;
    const attemptMs =
      isRepeatable && !isLast
        ? computeAttemptMs({ leftMs: remainingMs, latencyGoalMs, slowness })
        : remainingMs;
    logDecision(
      dependencies,
      context,
      'call sent',
      {
        attempt,
        running: status.running,
        reported: status.reported,
        suspected: status.isSuspected,
        leftMs: Math.round(remainingMs),
        ...(readPace ? recordServerPace(dependencies, context, status, slowness) : {}),
        ...(fleet ? formatFleetFields(fleet, status) : {}),
      },
      status.entry,
    );
    servers.recordSent(status.entry);
    const sentAtMs = clock.readMonotonicMs();
    steps.enterStep('attempt');
    Object.assign(call, { hasArrived: true });
    const arrival = arrivals.startAttempt(retry);
    const result = await sendCallAttempt(dependencies, context, status.entry, {
      leftMs: remainingMs,
      attemptMs,
      reserveNext: () => reserveNext(status.entry.id),
    });
    permit.finish({ isRejected: result.kind === 'not-run' && result.isRejected });
    if (result.kind === 'not-run') {
      if (result.isRejected) directory.recordFull(status.entry.id);
      if (result.hasArrived) arrival.recordRead();
      else {
        arrival.recordUnsent();
        permit.release();
      }
    } else {
      recordArrival(arrival, status.entry.id, result.end);
      const evidence = crashes.recordEnd(status.entry, result.end);
      logAttemptEnd(dependencies, context, status.entry, result.end, evidence);
    }
    if (result.kind === 'left') return 'left';
    const tookMs = clock.readMonotonicMs() - sentAtMs;
    if (result.kind !== 'not-run') {
      const isFailure = result.kind === 'failed';
      servers.recordOutcome(status.entry, { isFailure, duration: isFailure ? null : tookMs });
    }
    if (call.ended.aborted) return 'ended';
    Object.assign(call, { hasArrived: result.kind !== 'not-run' || startedAttempts > 0 });
    if (result.kind === 'answered') {
      sendResponse(context, result.response);
      return 'answered';
    }
    lastReason = result.reason;
    logDecision(
      dependencies,
      context,
      'call attempt failed',
      {
        attempt,
        outcome: result.kind,
        reason: result.reason,
        ...result.fields,
        ...crashes.readLogFields(),
        tookMs: Math.round(tookMs),
      },
      status.entry,
    );
    excludedIds.add(status.entry.id);
    if (result.kind === 'not-run') {
      refusals += 1;
      if (refusals >= MAX_REFUSALS) break;
    } else {
      startedAttempts += 1;
      Object.assign(call, { failedResponse: result.response ?? call.failedResponse });
      if (!isRepeatable || startedAttempts >= route.maxAttempts) break;
    }
  }
  if (call.ended.aborted || !reply.isOpen()) return 'left';
  if (call.failedResponse) {
    sendResponse(context, call.failedResponse);
    return 'server-error';
  }
  const cause = crashes.findCause();
  if (cause) {
    dependencies.meter.recordCrashRefusal(cause.kind);
    const refusal = buildQuarantineRefusal({ hasArrived: startedAttempts > 0, cause });
    return refuseCall(dependencies, context, refusal);
  }
  const isLate = clock.readMonotonicMs() >= deadlineAtMs - 1;
  const lossKind = isLate ? 'deadline-passed' : 'lost';
  return refuseCall(dependencies, context, {
    kind: startedAttempts === 0 ? 'not-run' : lossKind,
    reason: lastReason,
    retryAfterMs:
      startedAttempts === 0 ? Math.max(RETRY_AFTER_MS, directory.readShortestPauseMs(service)) : 0,
  });
};
