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
import { buildPaceReader } from '../buildPaceReader';
import { estimateRunPrefill } from '../estimateRunPrefill';
import { hasHealthyCopy } from '../hasHealthyCopy';
import { logDecision } from '../logDecision';
import { recordStreamEnd } from '../recordStreamEnd';
import { recordStreamSilence } from '../recordStreamSilence';
import { recordWorkFactor } from '../recordWorkFactor';
import { reserveReplacement } from '../reserveReplacement';

/** Fraction of the gap goal after which a silent server is probed. */
const PROBE_GAP_FRACTION = 0.35;

/**
 * Interval of probes while a server processes a prompt. It sends no events meanwhile, for a second
 * and more, so that silence alone does not distinguish a lost server from a busy one.
 */
const PREFILL_PROBE_INTERVAL_MS = 400;

/** Interval of probes while the server answers them but sends no event. */
const PROBE_INTERVAL_MS = 150;

/** Time until the next probe after an unanswered one. */
const MISSED_PROBE_RETRY_MS = 50;

/** Time until a silent server that nothing may replace is given up after all, if that has changed. */
const UNREPLACED_RETRY_MS = 500;

/**
 * A probe that took longer than this timed out because this process stalled or is slow, so that it
 * is no evidence against the server. Probes have timeouts of 150 ms for the response and 120 ms for
 * the connection; a server that fell silent uses up both.
 */
const PROCESS_STALL_MS = 600;

const computeSilenceTimeoutMs = (
  run: StreamRun,
  { expectedFirstEventMs, hasDeliveredEvent, server }: StreamAttempt,
  report: ServerReport | null,
): number => {
  const { request, route, service } = run.context;
  const samples = run.paces.listFirstTokens(service);
  const slowest = computePrefillLimits(samples, countPromptTokens(request), { isServerDead: true });
  const readPace = buildPaceReader(run.dependencies.serverPaces, service, 'prefillMsPerToken');
  return computeEventTimeoutMs({
    hasDelivered: hasDeliveredEvent,
    hasCopy: hasHealthyCopy(run),
    isQueued: (report?.waiting ?? 0) > 0,
    gapGoalMs: route.gapGoalMs,
    latencyGoalMs: route.latencyGoalMs,
    slowestPrefillMs: slowest.confirmMs,
    expectedFirstEventMs,
    slowness: readPace?.(server).slowness ?? 1,
  });
};

const computeProbeDelayMs = (run: StreamRun, attempt: StreamAttempt): number => {
  if (!attempt.hasDeliveredEvent) return PREFILL_PROBE_INTERVAL_MS;
  const { suspectMs } = computeSilenceLimits(attempt.gaps, { isServerDead: false });
  return Math.min(suspectMs, run.context.route.gapGoalMs * PROBE_GAP_FRACTION);
};

/**
 * Watches an attempt for silence. A server that is silent for longer than usual is probed. It is
 * given up if it does not answer, or after a far longer silence.
 *
 * @returns a function that ends the watch
 */
export const startSilenceWatch = (
  run: StreamRun,
  attempt: StreamAttempt,
  reader: ReaderId,
): (() => void) => {
  const { client, clock, directory, log } = run.dependencies;
  let isStopped = false;
  let wasLost = false;
  let missedProbes = 0;
  let isKept = false;
  /** When the server first reported an empty queue. */
  let firstUnqueuedAtMs = Infinity;

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
    recordStreamEnd(run, attempt, 'silent');
    run.dispatch({ kind: 'silent', reader, confirmed: true });
  };

  /** Keeps an attempt that nothing may replace: its server may still go on. */
  const keepAttempt = (cause: string, reason: string): number => {
    if (!isKept) {
      recordStreamSilence(run, attempt);
      const fields = { cause, reason, silentMs: Math.round(readSilentMs()) };
      logDecision(run.dependencies, run.context, 'silent server kept', fields, attempt.server);
    }
    isKept = true;
    return UNREPLACED_RETRY_MS;
  };

  /** Gives the server up if another one may take its place; resolves as `probeServer`. */
  const replaceSilent = async (report: ServerReport | null): Promise<number | null> => {
    const cause = report ? 'no event' : 'no answer';
    const activityBeforeMs = attempt.lastActivityMs;
    const isSilent = (): boolean => !isStopped && attempt.lastActivityMs === activityBeforeMs;
    const obstacle = await reserveReplacement(run, {
      isServerAnswering: report !== null,
      isStillNeeded: isSilent,
    });
    if (isStopped) return null;
    if (obstacle) return keepAttempt(cause, obstacle);
    if (!isSilent()) return PROBE_INTERVAL_MS;
    giveUp(cause, report);
    return null;
  };

  /**
   * Probes the server; resolves with the time until the next check, or null once it was given up.
   */
  const probeServer = async (): Promise<number | null> => {
    attempt.dating.refresh();
    const probeDelayMs = computeProbeDelayMs(run, attempt);
    const silentMs = readSilentMs();
    if (silentMs < probeDelayMs) return probeDelayMs - silentMs;
    const activityBeforeMs = attempt.lastActivityMs;
    const probedAtMs = clock.readMonotonicMs();
    const report = await client.readReport(attempt.server);
    const tookMs = clock.readMonotonicMs() - probedAtMs;
    directory.recordStartTime(attempt.server.id, report?.bornMs ?? null);
    recordWorkFactor(run.dependencies.serverPaces, attempt.server, report?.load ?? null);
    if (isStopped) return null;
    if (attempt.lastActivityMs !== activityBeforeMs) {
      missedProbes = 0;
      return PROBE_INTERVAL_MS;
    }
    if (report?.waiting === 0) firstUnqueuedAtMs = Math.min(firstUnqueuedAtMs, probedAtMs);
    const isLost =
      report !== null &&
      isRunLost(report, run.context.request.requestId, {
        hasArrived: attempt.hasDeliveredEvent,
        queueEmptyMs: Math.max(0, clock.readMonotonicMs() - firstUnqueuedAtMs),
        prefill: estimateRunPrefill(run),
      });
    // Reports lag: the first one may be older than the run.
    if (isLost && wasLost) {
      giveUp('run lost', report);
      return null;
    }
    wasLost = isLost;
    missedProbes = report ? 0 : missedProbes + 1;
    const isStalled = !report && tookMs > PROCESS_STALL_MS;
    const hasMissedTooMany =
      missedProbes > (attempt.hasDeliveredEvent && hasHealthyCopy(run) ? 0 : 1) && !isStalled;
    if (!hasMissedTooMany && readSilentMs() < computeSilenceTimeoutMs(run, attempt, report)) {
      if (!report) return MISSED_PROBE_RETRY_MS;
      return attempt.hasDeliveredEvent || isLost ? PROBE_INTERVAL_MS : PREFILL_PROBE_INTERVAL_MS;
    }
    return replaceSilent(report);
  };

  const stopLoop = startLoop({
    clock,
    firstDelayMs: computeProbeDelayMs(run, attempt),
    runStep: probeServer,
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
