import {
  chooseForwardServer,
  computeFingerprint,
  RouteKind,
  type AnswerHead,
  type ServerEntry,
} from '../../../../domain/forwarding';
import type { AttemptError } from '../../../ports';
import type { ForwardContext, ForwardingDependencies, Refusal } from '../../types';
import { readWholeBody } from '../readWholeBody';
import { recordAttemptFailure } from '../recordAttemptFailure';
import { recordDecision } from '../recordDecision';

/** A server's answer, whole. */
interface WholeAnswer {
  readonly head: AnswerHead;
  readonly body: Buffer;
}

/** How one attempt ended. */
type AttemptEnd =
  | { readonly kind: 'answered'; readonly answer: WholeAnswer }
  /** The server did not run it. */
  | { readonly kind: 'not-run'; readonly reason: string; readonly hasArrived: boolean }
  /** It may have run. */
  | { readonly kind: 'failed'; readonly reason: string; readonly answer: WholeAnswer | null }
  | { readonly kind: 'left' };

/** An attempt of a repeatable call is given up after this many latency goals. */
const ATTEMPT_GOALS = 1.5;

/** Shortest time of an attempt: servers answer some requests in five times the usual time. */
const MIN_ATTEMPT_MS = 120;

/** Part of the time left that an attempt may take while another one can follow. */
const ATTEMPT_PART = 0.6;

/** Servers that refuse are not asked again and again while the caller waits. */
const MAX_REFUSALS = 6;

const RETRY_AFTER_MS = 150;

const SERVER_ERROR_STATUS = 500;

const computeAttemptMs = ({ route }: ForwardContext, leftMs: number, isLast: boolean): number => {
  if (route.kind !== RouteKind.Repeatable || isLast) return leftMs;
  const goalMs = Math.max(MIN_ATTEMPT_MS, route.latencyGoalMs * ATTEMPT_GOALS);
  return Math.min(goalMs, leftMs * ATTEMPT_PART);
};

const convertError = (error: AttemptError, isTimeout: boolean): AttemptEnd => {
  if (error.kind === 'not-started') {
    return { kind: 'not-run', reason: error.reason, hasArrived: false };
  }
  if (error.kind === 'cancelled' && !isTimeout) return { kind: 'left' };
  const reason = error.kind === 'broken' ? error.reason : 'no answer in time';
  return { kind: 'failed', reason, answer: null };
};

const sendOnce = async (
  dependencies: ForwardingDependencies,
  context: ForwardContext,
  server: ServerEntry,
  options: { readonly leftMs: number; readonly attemptMs: number },
): Promise<AttemptEnd> => {
  const { client, clock, directory } = dependencies;
  const { holder, reply, request } = context;
  const timeout = new AbortController();
  const cancelTimer = clock.startTimer(options.attemptMs, () => timeout.abort());
  const work = directory.startWork(server.id, { prefillTokens: 0 });
  try {
    const sent = await client.sendAttempt(
      {
        server,
        request,
        workspace: holder?.workspace ?? null,
        priority: context.priority,
        remainingMs: options.leftMs,
        lastEventId: null,
        backupAddress: null,
        copy: null,
        ownConnection: false,
      },
      AbortSignal.any([reply.left, timeout.signal]),
    );
    if (sent.isErr()) {
      recordAttemptFailure(directory, server.id, sent.error);
      return convertError(sent.error, timeout.signal.aborted);
    }
    const { body, head } = sent.value;
    if (!head.isGenuine && !head.isNotRun) {
      // The answer that is due may still follow on this connection: it is not used again.
      timeout.abort();
      return { kind: 'failed', reason: 'the answer is of another request', answer: null };
    }
    const read = await readWholeBody(body);
    if (reply.left.aborted) return { kind: 'left' };
    if (head.load) directory.recordLoad(server.id, head.load);
    if (head.isOtherServer) directory.recordReplaced(server.id, head.serverId);
    if (head.isNotRun) {
      return { kind: 'not-run', reason: `status ${head.status}`, hasArrived: true };
    }
    if (read.isErr()) return { kind: 'failed', reason: read.error, answer: null };
    const answer = { head, body: read.value };
    if (head.status >= SERVER_ERROR_STATUS) {
      return { kind: 'failed', reason: `status ${head.status}`, answer };
    }
    directory.recordSuccess(server.id);
    return { kind: 'answered', answer };
  } finally {
    cancelTimer();
    work.release();
  }
};

const sendAnswer = ({ reply }: ForwardContext, { body, head }: WholeAnswer): void =>
  reply.sendWhole(head, body);

const refuse = (
  dependencies: ForwardingDependencies,
  context: ForwardContext,
  refusal: Refusal,
): string => {
  recordDecision(dependencies, context, 'call refused', { ...refusal });
  context.reply.sendRefusal(refusal);
  return refusal.kind;
};

const sendToServers = async (
  dependencies: ForwardingDependencies,
  context: ForwardContext,
): Promise<string> => {
  const { clock, directory, lender, randomness, retries } = dependencies;
  const { deadlineAtMs, reply, route, service } = context;
  const isRepeatable = route.kind === RouteKind.Repeatable;
  const excludedIds = new Set<string>();
  let failedAnswer: WholeAnswer | null = null;
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
    const status = chooseForwardServer(directory.listServing(service), {
      excludedIds,
      avoidedZone: null,
      preferredZone: dependencies.availabilityZone,
      draw: randomness.readFraction(),
    });
    if (!status) break;
    const isRepeat = arrivals > 0;
    if (isRepeat && !(await lender.acquireRetry(service))) {
      lastReason = `no retry left after: ${lastReason}`;
      break;
    }
    // Another VM may have been asked for the repeat: time has passed, and the caller may have left.
    const remainingMs = deadlineAtMs - clock.readMonotonicMs();
    if (remainingMs <= 1 || !reply.isOpen()) {
      if (isRepeat) retries.releaseRetry(service);
      continue;
    }
    const isLast = runs + 1 >= route.maxAttempts;
    const attemptMs = computeAttemptMs(context, remainingMs, isLast);
    recordDecision(
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
    const sentAtMs = clock.readMonotonicMs();
    const end = await sendOnce(dependencies, context, status.entry, {
      leftMs: remainingMs,
      attemptMs,
    });
    if (end.kind === 'left') return 'left';
    if (end.kind !== 'not-run' || end.hasArrived) arrivals += 1;
    else if (isRepeat) retries.releaseRetry(service);
    if (end.kind === 'answered') {
      sendAnswer(context, end.answer);
      return 'answered';
    }
    lastReason = end.reason;
    recordDecision(
      dependencies,
      context,
      'call attempt failed',
      {
        attempt,
        outcome: end.kind,
        reason: end.reason,
        fingerprint: computeFingerprint(context.request, context.holder?.workspace ?? null),
        tookMs: Math.round(clock.readMonotonicMs() - sentAtMs),
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
      if (!isRepeatable || runs >= route.maxAttempts) break;
    }
  }
  if (!reply.isOpen()) return 'left';
  if (failedAnswer) {
    sendAnswer(context, failedAnswer);
    return 'server-error';
  }
  const isLate = clock.readMonotonicMs() >= deadlineAtMs - 1;
  const kindOfLoss = isLate ? 'deadline-passed' : 'lost';
  return refuse(dependencies, context, {
    kind: runs === 0 ? 'not-run' : kindOfLoss,
    reason: lastReason,
    retryAfterMs: runs === 0 ? RETRY_AFTER_MS : 0,
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
  recordDecision(dependencies, context, 'call ended', {
    outcome,
    goalMs: context.route.latencyGoalMs,
  });
  return outcome;
};
