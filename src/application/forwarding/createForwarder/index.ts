import {
  checkRequestKey,
  chooseTarget,
  computePriority,
  computeRetryAfterMs,
  findRoute,
  isReturning,
  RouteKind,
  type ForwardedRequest,
} from '../../../domain/forwarding';
import { createLatencyHistory } from '../../_lib/createLatencyHistory';
import { createOverloadTracker } from '../_lib/createOverloadTracker';
import { createStepTracker } from '../_lib/createStepTracker';
import { forwardCall } from '../_lib/forwardCall';
import { forwardStream } from '../_lib/forwardStream';
import type { CallerReply, ForwardContext, ForwardingDependencies, Refusal } from '../types';

/** Forwards callers' requests to backend servers. */
export interface Forwarder {
  /** Resolves when the response has ended or the caller has disconnected. */
  forwardRequest(request: ForwardedRequest, reply: CallerReply): Promise<void>;
  countRunning(): number;
  /** Refuses new and waiting streams from now on: they would outlive this process. */
  refuseStreams(): void;
  /** Refuses all new requests from now on: the process is about to end. */
  refuseAll(): void;
  /**
   * Takes only requests that end before this monotonic time, and streams that may be resumed; answers
   * all that still run then.
   */
  drainUntil(exitAtMs: number): void;
}

/**
 * Minimum retry time while this VM has no configuration. It gets one within 0.1 s of its start
 * unless the store is down. With 0.5 s, callers retried once, were refused again and gave up.
 */
const NO_CONFIGURATION_RETRY_MS = 2000;

/** Expected remaining time without a configuration, as a multiple of the time so far. */
const OUTAGE_FACTOR = 2;

/** Refused streams are told to retry after their latency goal, reduced by the random spread. */
const SHORTEST_RETURN_FRACTION = 0.9;

const OUTDATED_REASON = 'the configuration of this VM may be outdated';

/** Time after which to retry while this VM does not know yet which requests crash servers. */
const UNKNOWN_QUARANTINES_RETRY_MS = 200;

/** Time after which to retry at another VM when the configuration of this one may be outdated. */
const OUTDATED_RETRY_MS = 200;

const LEAVING_REASON = 'this VM is leaving';

/** Time after which to retry at another VM when this one is shutting down. */
const LEAVING_RETRY_MS = 50;

/** Time after which to retry at another VM when this one is overloaded. */
const OVERLOAD_RETRY_MS = 50;

/** A request that ends this long after its deadline is logged with what it waited for. */
const LATE_END_MS = 100;

/** Creates the forwarder of this VM. */
export const createForwarder = (dependencies: ForwardingDependencies): Forwarder => {
  const {
    clock,
    fleetLoad,
    log,
    loopDelay,
    meter,
    randomness,
    retries,
    rollouts,
    scheduler,
    tables,
  } = dependencies;
  const shared = { paces: createLatencyHistory(), overload: createOverloadTracker(clock) };
  const startedAtMs = clock.readMonotonicMs();
  /** By route: the longest time that a caller waits. */
  const longestWaitMs = new Map<string, number>();
  let running = 0;
  let refusesStreams = false;
  let refusesAll = false;
  let exitAtMs = Infinity;
  const exitListeners = new Set<() => void>();

  const refuse = (request: ForwardedRequest, reply: CallerReply, refusal: Refusal): string => {
    log.info('request refused', {
      requestId: request.requestId,
      configuration: tables.readCurrent()?.version ?? 0,
      ...refusal,
    });
    reply.sendRefusal(refusal);
    return refusal.kind;
  };

  /** Only a VM whose configuration is current can tell that a route or a key does not exist. */
  const refuseUnknown = (kind: 'unknown-key' | 'unknown-route', reason: string): Refusal =>
    tables.isCurrent()
      ? { kind, reason, retryAfterMs: 0 }
      : { kind: 'not-run', reason: OUTDATED_REASON, retryAfterMs: OUTDATED_RETRY_MS };

  const admit = (request: ForwardedRequest, reply: CallerReply): ForwardContext | Refusal => {
    const table = tables.readCurrent();
    if (!table) {
      const reason = 'no configuration is known yet';
      const retryAfterMs = computeRetryAfterMs({
        waitMs: NO_CONFIGURATION_RETRY_MS,
        outageMs: (clock.readMonotonicMs() - startedAtMs) * OUTAGE_FACTOR,
        leftMs: request.deadlineMs ?? Infinity,
        draw: randomness.readFraction(),
      });
      return { kind: 'not-run', reason, retryAfterMs };
    }
    const route = findRoute(table, request.host, request.target);
    if (!route) return refuseUnknown('unknown-route', 'no route');
    if (refusesAll || (refusesStreams && route.kind === RouteKind.Stream)) {
      return { kind: 'not-run', reason: LEAVING_REASON, retryAfterMs: LEAVING_RETRY_MS };
    }
    const access = checkRequestKey(table, route, request.key);
    if (access.isErr()) return refuseUnknown('unknown-key', access.error);
    if (!dependencies.quarantineRows.isRead()) {
      const reason = 'the requests that crash servers are not known yet';
      return { kind: 'not-run', reason, retryAfterMs: UNKNOWN_QUARANTINES_RETRY_MS };
    }
    const service = chooseTarget(route, randomness.readFraction());
    if (service === null) {
      return { kind: 'not-run', reason: 'the route has no service', retryAfterMs: 0 };
    }
    const waitMs = Math.min(request.deadlineMs ?? Infinity, route.timeoutMs);
    const isResumable = route.kind === RouteKind.Stream && route.resumable;
    if (!isResumable && request.arrivedAtMs + waitMs > exitAtMs) {
      return { kind: 'not-run', reason: LEAVING_REASON, retryAfterMs: LEAVING_RETRY_MS };
    }
    // At most the route's timeout: one caller with a huge deadline must not make all others look
    // like retries.
    const longestMs = Math.max(longestWaitMs.get(route.name) ?? 0, waitMs);
    longestWaitMs.set(route.name, longestMs);
    const isRetry = isReturning({
      deadlineMs: request.deadlineMs,
      longestDeadlineMs: longestMs,
      minRetryAfterMs: route.latencyGoalMs * SHORTEST_RETURN_FRACTION,
    });
    // A caller does not come back a second time, and a resumed stream would lose its tokens.
    const isNewStream = route.kind === RouteKind.Stream && request.lastEventId === null;
    if (isNewStream && !isRetry && loopDelay.refusesStream()) {
      return { kind: 'not-run', reason: 'this VM is slow', retryAfterMs: OVERLOAD_RETRY_MS };
    }
    return {
      request,
      route,
      service,
      holder: access.value.holder,
      priority: computePriority(route, access.value.holder),
      isReturning: isRetry,
      firstArrivedAtMs: request.arrivedAtMs - (isRetry ? longestMs - waitMs : 0),
      servers: rollouts.openRequest({ service, route: route.name }),
      reply,
      steps: createStepTracker(clock),
      deadlineAtMs: request.arrivedAtMs + waitMs,
      version: table.version,
      addExitListener: (listener) => {
        exitListeners.add(listener);
        return () => exitListeners.delete(listener);
      },
    };
  };

  /** Logs what a request waited for that its caller left, or that ended after its deadline. */
  const logUnusualEnd = (
    { deadlineAtMs, request, route, service, steps }: ForwardContext,
    outcome: string,
  ): void => {
    const nowMs = clock.readMonotonicMs();
    const isLate = nowMs - deadlineAtMs > LATE_END_MS;
    if (!isLate && outcome !== 'left') return;
    const step = steps.readStep();
    meter.recordUnusualEnd(isLate ? 'late' : 'left', step);
    log.info(isLate ? 'request ended late' : 'request left by its caller', {
      requestId: request.requestId,
      route: route.name,
      service,
      outcome,
      step,
      stepMs: Math.round(steps.readStepMs()),
      ageMs: Math.round(nowMs - request.arrivedAtMs),
      lateMs: Math.round(Math.max(0, nowMs - deadlineAtMs)),
      loopDelayMs: Math.round(loopDelay.readDelayMs()),
    });
  };

  const forward = async (request: ForwardedRequest, reply: CallerReply): Promise<void> => {
    if (!reply.isOpen()) {
      log.info('request read after its caller left', { requestId: request.requestId });
      meter.recordUnusualEnd('left', 'admission');
      return;
    }
    const admitted = admit(request, reply);
    if (!('route' in admitted)) {
      meter.recordRequest('none', refuse(request, reply, admitted), 0);
      return;
    }
    retries.recordRequest(admitted.service, request.sentSinceMs);
    fleetLoad.recordArrival(admitted.service);
    const outcome =
      admitted.route.kind === RouteKind.Stream
        ? await forwardStream(dependencies, admitted, shared)
        : await forwardCall(dependencies, admitted);
    logUnusualEnd(admitted, outcome);
    meter.recordRequest(
      admitted.route.kind,
      outcome,
      clock.readMonotonicMs() - request.arrivedAtMs,
    );
  };

  return {
    forwardRequest: async (request, reply) => {
      running += 1;
      const endRequest = loopDelay.startRequest();
      try {
        await forward(request, reply);
      } catch (error) {
        const reason = error instanceof Error ? error.message : 'unknown';
        log.error('request failed unexpectedly', { requestId: request.requestId, reason });
        if (reply.hasSentHead()) reply.destroy();
        else reply.sendRefusal({ kind: 'lost', reason: 'internal error', retryAfterMs: 0 });
      } finally {
        running -= 1;
        endRequest();
      }
    },
    countRunning: () => running,
    drainUntil: (atMs) => {
      exitAtMs = atMs;
      clock.startTimer(Math.max(0, atMs - clock.readMonotonicMs()), () =>
        [...exitListeners].forEach((listener) => listener()),
      );
    },
    refuseAll: () => {
      refusesAll = true;
    },
    refuseStreams: () => {
      refusesStreams = true;
      scheduler.refuseWaiting(LEAVING_REASON, LEAVING_RETRY_MS);
    },
  };
};
