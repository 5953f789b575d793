import { chooseLeastLoadedServer, RouteKind } from '../../../../domain/forwarding';
import type { ForwardContext, ForwardingDependencies, Refusal } from '../../types';
import { buildQuarantineRefusal } from '../buildQuarantineRefusal';
import { createCallCrashTracker } from '../createCallCrashTracker';
import { skipRateLimited } from '../skipRateLimited';
import { logDecision } from '../logDecision';
import { sendCallAttempt, type BufferedResponse } from '../sendCallAttempt';

/** An attempt of a repeatable call is given up after this many latency goals. */
const ATTEMPT_GOALS = 1.5;

/** Shortest time of an attempt: servers answer some requests in five times the usual time. */
const MIN_ATTEMPT_MS = 120;

/** Part of the time left that an attempt may take while another one can follow. */
const ATTEMPT_PART = 0.6;

/** Servers that refuse are not asked again and again while the caller waits. */
const MAX_REFUSALS = 6;

const RETRY_AFTER_MS = 150;

const LIMIT_REASON = 'the rate limit of the servers leaves nothing';

const computeAttemptMs = ({ route }: ForwardContext, leftMs: number, isLast: boolean): number => {
  if (route.kind !== RouteKind.Repeatable || isLast) return leftMs;
  const goalMs = Math.max(MIN_ATTEMPT_MS, route.latencyGoalMs * ATTEMPT_GOALS);
  return Math.min(goalMs, leftMs * ATTEMPT_PART);
};

const sendAnswer = ({ reply }: ForwardContext, { body, head }: BufferedResponse): void =>
  reply.sendResponse(head, body);

const refuse = (
  dependencies: ForwardingDependencies,
  context: ForwardContext,
  refusal: Refusal,
): string => {
  logDecision(dependencies, context, 'call refused', { ...refusal });
  context.reply.sendRefusal(refusal);
  return refusal.kind;
};

const sendToServers = async (
  dependencies: ForwardingDependencies,
  context: ForwardContext,
): Promise<string> => {
  const { clock, directory, lender, permits, randomness, retries } = dependencies;
  const { deadlineAtMs, reply, route, servers, service } = context;
  const isRepeatable = route.kind === RouteKind.Repeatable;
  const excludedIds = new Set<string>();
  const crashes = createCallCrashTracker(dependencies, context);
  let failedAnswer: BufferedResponse | null = null;
  let runs = 0;
  let refusals = 0;
  let arrivals = 0;
  let lastReason = 'no server takes work';

  for (let attempt = 1; reply.isOpen(); attempt += 1) {
    const leftMs = deadlineAtMs - clock.readMonotonicMs();
    if (leftMs <= 1) {
      if (failedAnswer) break;
      const kind = runs === 0 && attempt === 1 ? 'not-run' : 'deadline-passed';
      return refuse(dependencies, context, { kind, reason: lastReason, retryAfterMs: 0 });
    }
    if (crashes.hasReachedCrashLimit() || crashes.readQuarantineMs() > 0) break;
    const status = chooseLeastLoadedServer(servers.list(), {
      excludedIds,
      avoidedZone: null,
      preferredZone: dependencies.availabilityZone,
      draw: randomness.readFraction(),
    });
    if (!status) break;
    const permit = await permits.acquirePermit(status.entry.id);
    if (typeof permit === 'number') {
      skipRateLimited(dependencies, context, status.entry, permit);
      excludedIds.add(status.entry.id);
      lastReason = LIMIT_REASON;
      continue;
    }
    const isRepeat = arrivals > 0;
    if (isRepeat && !(await lender.acquireRetry(service))) {
      permit.release();
      lastReason = `no retry left after: ${lastReason}`;
      break;
    }
    // Other VMs may have been asked: time has passed, and the caller may have left.
    const remainingMs = deadlineAtMs - clock.readMonotonicMs();
    if (remainingMs <= 1 || !reply.isOpen() || crashes.readQuarantineMs() > 0) {
      permit.release();
      if (isRepeat) retries.releaseRetry(service);
      continue;
    }
    const isLast = runs + 1 >= route.maxAttempts;
    const attemptMs = computeAttemptMs(context, remainingMs, isLast);
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
      },
      status.entry,
    );
    servers.recordSent(status.entry);
    const sentAtMs = clock.readMonotonicMs();
    const end = await sendCallAttempt(dependencies, context, status.entry, {
      leftMs: remainingMs,
      attemptMs,
    });
    if (end.kind === 'left') return 'left';
    const tookMs = clock.readMonotonicMs() - sentAtMs;
    if (end.kind !== 'not-run') {
      const isFailure = end.kind === 'failed';
      servers.recordOutcome(status.entry, { isFailure, duration: isFailure ? null : tookMs });
    }
    if (end.kind !== 'not-run' || end.hasArrived) arrivals += 1;
    else {
      permit.release();
      if (isRepeat) retries.releaseRetry(service);
    }
    if (end.kind === 'answered') {
      crashes.recordResponse(status.entry);
      sendAnswer(context, end.response);
      return 'answered';
    }
    lastReason = end.reason;
    logDecision(
      dependencies,
      context,
      'call attempt failed',
      {
        attempt,
        outcome: end.kind,
        reason: end.reason,
        fingerprint: crashes.readFingerprint(),
        tookMs: Math.round(tookMs),
      },
      status.entry,
    );
    excludedIds.add(status.entry.id);
    if (end.kind === 'not-run') {
      refusals += 1;
      if (refusals >= MAX_REFUSALS) break;
    } else {
      runs += 1;
      failedAnswer = end.answer ?? failedAnswer;
      if (end.hasLostConnection) crashes.recordCrash(status.entry);
      else if (end.answer) crashes.recordResponse(status.entry);
      if (!isRepeatable || runs >= route.maxAttempts) break;
    }
  }
  if (!reply.isOpen()) return 'left';
  if (failedAnswer) {
    sendAnswer(context, failedAnswer);
    return 'server-error';
  }
  const quarantineMs = crashes.readQuarantineMs();
  if (quarantineMs > 0) {
    const refusal = buildQuarantineRefusal({ hasArrived: runs > 0, quarantineMs });
    return refuse(dependencies, context, refusal);
  }
  const isLate = clock.readMonotonicMs() >= deadlineAtMs - 1;
  const kindOfLoss = isLate ? 'deadline-passed' : 'lost';
  return refuse(dependencies, context, {
    kind: runs === 0 ? 'not-run' : kindOfLoss,
    reason: lastReason,
    retryAfterMs: runs === 0 ? Math.max(RETRY_AFTER_MS, directory.readShortestPauseMs(service)) : 0,
  });
};

/**
 * Forwards a call: to one server after the other while it surely did not run, or may be repeated.
 *
 * @returns the outcome, for the metrics
 */
export const forwardCall = async (
  dependencies: ForwardingDependencies,
  context: ForwardContext,
): Promise<string> => {
  const outcome = await sendToServers(dependencies, context);
  logDecision(dependencies, context, 'call ended', {
    outcome,
    goalMs: context.route.latencyGoalMs,
  });
  return outcome;
};
