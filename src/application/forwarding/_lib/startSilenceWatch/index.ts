import { computePrefillLimits, computeSilenceLimits } from '../../../../domain/detection';
import {
  countPromptTokens,
  computeEventTimeoutMs,
  isRunLost,
  type ServerReport,
} from '../../../../domain/forwarding';
import type { ReaderId } from '../../../../domain/generation';
import { startLoop } from '../../../time';
import type { StreamAttempt, StreamRun } from '../../types';
import { estimateRunPrefill } from '../estimateRunPrefill';
import { hasHealthyCopy } from '../hasHealthyCopy';
import { logDecision } from '../logDecision';

/** Part of the longest good pause after which a server is asked whether it lives. */
const ASK_PART = 0.35;

/**
 * How often a server is asked whether it lives while it reads a prompt. It sends nothing meanwhile,
 * for a second and more, so that its silence alone does not tell a lost server from a busy one.
 */
const ASK_IN_PREFILL_MS = 400;

/** Time between two questions while a server that answers them sends no event. */
const ASK_AGAIN_MS = 150;

/** Time after which a server that did not answer is asked again. */
const ASK_MISSED_MS = 50;

/**
 * A question that was given up later than this was so because this process itself stood still or
 * is slow: it is no evidence against the server. Its own limits are 150 ms for the answer and
 * 120 ms for a connection, of which a server that fell silent uses both.
 */
const STALLED_MS = 600;

const computeGiveUpMs = (
  run: StreamRun,
  { expectedFirstEventMs, hasDeliveredEvent }: StreamAttempt,
  report: ServerReport | null,
): number => {
  const { request, route, service } = run.context;
  const samples = run.paces.listFirstTokens(service);
  const slowest = computePrefillLimits(samples, countPromptTokens(request), { isServerDead: true });
  return computeEventTimeoutMs({
    hasDelivered: hasDeliveredEvent,
    hasCopy: hasHealthyCopy(run),
    isQueued: (report?.waiting ?? 0) > 0,
    gapGoalMs: route.gapGoalMs,
    latencyGoalMs: route.latencyGoalMs,
    slowestPrefillMs: slowest.confirmMs,
    expectedFirstEventMs: expectedFirstEventMs,
  });
};

const computeAskMs = (run: StreamRun, attempt: StreamAttempt): number => {
  if (!attempt.hasDeliveredEvent) return ASK_IN_PREFILL_MS;
  const { suspectMs } = computeSilenceLimits(attempt.gaps, { isServerDead: false });
  return Math.min(suspectMs, run.context.route.gapGoalMs * ASK_PART);
};

/**
 * Watches an attempt for silence. A server that has been silent for longer than usual is asked
 * whether it lives; it is given up when it does not answer, or after a far longer silence.
 *
 * @returns ends the watch
 */
export const startSilenceWatch = (
  run: StreamRun,
  attempt: StreamAttempt,
  reader: ReaderId,
): (() => void) => {
  const { client, clock, directory, log } = run.dependencies;
  let isStopped = false;
  let wasLost = false;
  let misses = 0;
  /** When the server said first that no request waits there. */
  let unqueuedAtMs = Infinity;

  const readSilentMs = (): number => clock.readMonotonicMs() - attempt.lastActivityMs;

  const giveUp = (cause: string, report: ServerReport | null): void => {
    const silentMs = Math.round(readSilentMs());
    logDecision(
      run.dependencies,
      run.context,
      'server silent',
      {
        cause,
        silentMs,
        waiting: report?.waiting ?? -1,
        running: report?.running ?? -1,
        listed: report?.eventsByRun?.size ?? -1,
        eventsMade: report?.eventsByRun?.get(run.context.request.requestId) ?? -1,
      },
      attempt.server,
    );
    run.context.servers.recordOutcome(attempt.server, { isFailure: true, duration: null });
    run.dispatch({ kind: 'silent', reader, confirmed: true });
  };

  /** Returns when to look again, or null once the server was given up. */
  const look = async (): Promise<number | null> => {
    const askMs = computeAskMs(run, attempt);
    const silentMs = readSilentMs();
    if (silentMs < askMs) return askMs - silentMs;
    const askedAtMs = attempt.lastActivityMs;
    const askedMs = clock.readMonotonicMs();
    const report = await client.readReport(attempt.server);
    const tookMs = clock.readMonotonicMs() - askedMs;
    directory.recordStartTime(attempt.server.id, report?.bornMs ?? null);
    if (isStopped) return null;
    if (attempt.lastActivityMs !== askedAtMs) {
      misses = 0;
      return ASK_AGAIN_MS;
    }
    if (report?.waiting === 0) unqueuedAtMs = Math.min(unqueuedAtMs, askedMs);
    const isLost =
      report !== null &&
      isRunLost(report, run.context.request.requestId, {
        hasArrived: attempt.hasDeliveredEvent,
        queueEmptyMs: Math.max(0, clock.readMonotonicMs() - unqueuedAtMs),
        prefill: estimateRunPrefill(run),
      });
    // A report is late: the first one may be older than the run.
    if (isLost && wasLost) {
      giveUp('run lost', report);
      return null;
    }
    wasLost = isLost;
    misses = report ? 0 : misses + 1;
    const isStalled = !report && tookMs > STALLED_MS;
    const isMissed =
      misses > (attempt.hasDeliveredEvent && hasHealthyCopy(run) ? 0 : 1) && !isStalled;
    if (!isMissed && readSilentMs() < computeGiveUpMs(run, attempt, report)) {
      if (!report) return ASK_MISSED_MS;
      return attempt.hasDeliveredEvent || isLost ? ASK_AGAIN_MS : ASK_IN_PREFILL_MS;
    }
    giveUp(report ? 'no event' : 'no answer', report);
    return null;
  };

  const stopLoop = startLoop({
    clock,
    firstDelayMs: computeAskMs(run, attempt),
    runStep: look,
    handleFailure: (reason) => {
      log.error('silence watch failed unexpectedly', { reason });
      return null;
    },
  });
  return () => {
    isStopped = true;
    stopLoop();
  };
};
