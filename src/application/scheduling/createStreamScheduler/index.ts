import type { ServerEntry, ServerReport } from '../../../domain/forwarding';
import {
  computeRunMs,
  START_MARGIN_MS,
  type ScheduleDecision,
  type ScheduledServer,
  type StreamDemand,
} from '../../../domain/scheduling';
import type { ScheduleRequest, StreamScheduler, StreamSchedulerDependencies } from '../types';
import { createDecisionRecord } from './_lib/createDecisionRecord';
import { createDemandQueue, type QueuedDemand } from './_lib/createDemandQueue';
import { createGrantRecord } from './_lib/createGrantRecord';
import { createReportPoller } from './_lib/createReportPoller';
import { createServerViews } from './_lib/createServerViews';
import { createStartForecast } from './_lib/createStartForecast';
import { countAheadInClass, decideDemand } from './_lib/decideDemand';
import { grantServer } from './_lib/grantServer';
import { listOverdueDemands } from './_lib/listOverdueDemands';
import { readDemandAt } from './_lib/readDemandAt';
import { recordRuns } from './_lib/recordRuns';
import { serveDemands } from './_lib/serveDemands';

/** Reports are read for this long after the last demand. */
const ACTIVE_MS = 1500;

/** Time in which the first reports arrive; then the directory's view is used. */
const FIRST_REPORTS_MS = 200;

/** A demand that was not renewed for this long is no longer needed: two renewals were lost. */
const RENEWAL_TIMEOUT_MS = 1200;

/** Time between two checks of what time alone changes: prefill queues, goals, renewals, polls. */
const TICK_MS = 50;

const NO_SERVER = { runs: -1, kvUsed: -1, reportAgeMs: -1 };

/** Creates the scheduler of a service's streams. It is idle until it gets demands. */
export const createStreamScheduler = (
  dependencies: StreamSchedulerDependencies,
): StreamScheduler => {
  const { clock, deliverDecision, directory, log, meter, paces, randomness, readReport, service } =
    dependencies;
  const views = createServerViews({ service, clock, directory, paces });
  const queue = createDemandQueue();
  const grants = createGrantRecord();
  const forecast = createStartForecast();
  const decisions = createDecisionRecord({ service, clock, log, meter });
  const parts = { clock, decisions, forecast, grants, queue, views };
  let lastDemandAtMs = -Infinity;
  let firstReportsUntilMs = -Infinity;
  let cancelTick: (() => void) | null = null;
  let isStopped = false;

  const isWaitingForReports = (): boolean =>
    !views.hasReports() && clock.readMonotonicMs() < firstReportsUntilMs;
  const listServers = (): ScheduledServer[] => views.list(forecast.readTypical());

  const deliver = (entry: QueuedDemand, decision: ScheduleDecision): Promise<boolean> =>
    deliverDecision(entry.sender.address, { service, decision }).catch(() => false);

  const revoke = (ticket: string): void => {
    if (grants.remove(ticket)) views.removeGrant(ticket);
  };

  const deliverGrant = async (entry: QueuedDemand, decision: ScheduleDecision): Promise<void> => {
    const isWanted = await deliver(entry, decision);
    if (isWanted || isStopped || grants.isAnswered(decision.ticket)) return;
    log.info('stream grant declined', { service, ticket: decision.ticket });
    revoke(decision.ticket);
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- grants lead to grants
    serve();
  };

  /** Grants what can begin; grants to `answered` tickets are part of the response. */
  const serve = (answered: ReadonlySet<string> = new Set()): readonly ScheduledServer[] => {
    const nowMs = clock.readMonotonicMs();
    if (isWaitingForReports()) return [];
    if (queue.list().length === 0) {
      forecast.recordBacklog(false, nowMs);
      return [];
    }
    const servers = serveDemands({
      entries: [...queue.list()],
      servers: listServers(),
      forecast,
      servicePace: paces.readServicePace(service),
      nowMs,
      grant: (entry, choice) => {
        const isAnswered = answered.has(entry.demand.ticket);
        const decision = grantServer(parts, entry, { ...choice, isAnswered });
        if (!isAnswered) deliverGrant(entry, decision);
      },
      readServer: (id) => views.buildServer(id, forecast.readTypical()),
    });
    forecast.recordBacklog(queue.list().length > 0, nowMs);
    return servers;
  };

  const decide = (entry: QueuedDemand, servers: readonly ScheduledServer[]): ScheduleDecision => {
    const { ticket } = entry.demand;
    if (isWaitingForReports()) return { kind: 'wait', ticket, predictedMs: FIRST_REPORTS_MS };
    const nowMs = clock.readMonotonicMs();
    const startsPerS = forecast.readStartsPerS(servers, nowMs);
    const waiting = decideDemand(entry, {
      entries: queue.list(),
      servers,
      forecast,
      servicePace: paces.readServicePace(service),
      startsPerS,
      nowMs,
      draw: randomness.readFraction(),
    });
    if (waiting.kind === 'wait' && waiting.isLate) queue.recordLate(ticket);
    if (waiting.kind === 'refuse') {
      queue.remove(ticket, false);
      forecast.recordRefused(entry.requestClass, nowMs);
    }
    const decision: ScheduleDecision =
      waiting.kind === 'refuse'
        ? { ...waiting, ticket }
        : { kind: 'wait', ticket, predictedMs: Math.round(waiting.predictedMs) };
    decisions.record(entry, decision, { ...NO_SERVER, waiting: queue.list().length, startsPerS });
    return decision;
  };

  const predictMs = (entry: QueuedDemand | null, servers: readonly ScheduledServer[]): number => {
    if (!entry) return 0;
    const nowMs = clock.readMonotonicMs();
    const { isLate, requestClass } = entry;
    const startsPerS = forecast.readStartsPerS(servers, nowMs);
    const ahead = queue.countAhead(entry.demand.ticket);
    const aheadInClass = countAheadInClass(queue.list(), entry);
    const options = { ahead, aheadInClass, isLate, startsPerS };
    return Math.round(forecast.predictWaitMs(requestClass, options, nowMs));
  };

  /** Decides anew on demands that can no longer begin within their goal, or not end in time. */
  const reconsider = (servers: readonly ScheduledServer[]): void => {
    const pace = paces.readServicePace(service);
    const overdue = listOverdueDemands(queue.list(), pace, clock.readMonotonicMs());
    if (overdue.length === 0 || isWaitingForReports()) return;
    overdue.forEach((entry) => {
      const decision = decide(entry, servers);
      if (decision.kind === 'refuse') deliver(entry, decision);
    });
  };

  const handleReport = (server: ServerEntry, report: ServerReport | null): void => {
    if (isStopped) return;
    if (!report) {
      directory.recordSuspicion(server.id, 'silent');
      return;
    }
    directory.recordStartTime(server.id, report.bornMs);
    if (report.isLeaving) directory.recordLeaving(server.id);
    const isFirst = !views.hasReports();
    views.recordReport(server, report);
    if (isFirst) serve();
  };
  const poller = createReportPoller({ clock, randomness, readReport, handleReport });

  const tick = (): void => {
    const nowMs = clock.readMonotonicMs();
    const isActive = queue.list().length > 0 || nowMs - lastDemandAtMs < ACTIVE_MS;
    cancelTick = isActive ? clock.startTimer(TICK_MS, tick) : null;
    if (!isActive) return;
    poller.pollDue(views.refresh());
    grants.removeOld(nowMs);
    queue
      .list()
      .filter(({ renewedAtMs }) => nowMs - renewedAtMs > RENEWAL_TIMEOUT_MS)
      .forEach(({ demand }) => {
        queue.remove(demand.ticket, false);
        log.info('stream demand expired', { service, ticket: demand.ticket });
      });
    if (queue.list().length > 0) reconsider(serve());
  };

  const takeDemand = (demand: StreamDemand, { sender }: ScheduleRequest): boolean => {
    const nowMs = clock.readMonotonicMs();
    const { goalMs } = readDemandAt({ demand, renewedAtMs: nowMs }, nowMs);
    const { outputTokens, promptTokens } = demand;
    const pace = paces.readServicePace(service);
    const times = computeRunMs(pace, { goalMs, outputTokens, promptTokens, runs: 1 });
    const isLate = demand.goalLeftMs < times.prefillMs + START_MARGIN_MS;
    const options = { demand, sender, nowMs, cost: times.runMs, isLate };
    const isKnown = queue.find(demand.ticket) !== null;
    if (isKnown) queue.renew(options);
    else {
      queue.add(options);
      forecast.recordDemand(demand, goalMs);
    }
    return !isKnown;
  };

  const takeDemands = (request: ScheduleRequest): readonly ScheduleDecision[] => {
    const nowMs = clock.readMonotonicMs();
    if (request.demands.length > 0) {
      const isIdle = nowMs - lastDemandAtMs >= ACTIVE_MS;
      if (isIdle && !views.hasReports()) firstReportsUntilMs = nowMs + FIRST_REPORTS_MS;
      lastDemandAtMs = nowMs;
      if (!cancelTick) tick();
    }
    const unknown = request.demands.filter(({ ticket }) => !grants.findForResponse(ticket));
    const added = new Set(
      unknown.filter((one) => takeDemand(one, request)).map(({ ticket }) => ticket),
    );
    const servers = serve(new Set(unknown.map(({ ticket }) => ticket)));
    return request.demands.map(({ requestClass, ticket }) => {
      const granted = grants.findForResponse(ticket);
      const entry = queue.find(ticket);
      const isNew = added.has(ticket);
      let decision: ScheduleDecision = {
        kind: 'wait',
        ticket,
        predictedMs: predictMs(entry, servers),
      };
      if (granted) decision = granted.decision;
      else if (entry && isNew) decision = decide(entry, servers);
      if (isNew && decision.kind !== 'refuse') forecast.recordAccepted(requestClass, nowMs);
      return decision;
    });
  };

  return {
    handleRequest: (request) => {
      if (isStopped || request.service !== service) return { isOwner: false, decisions: [] };
      recordRuns(request, { paces, service, views });
      request.cancelledTickets.forEach((ticket) => {
        queue.remove(ticket, false);
        revoke(ticket);
      });
      return { isOwner: true, decisions: takeDemands(request) };
    },
    countWaiting: () => queue.list().length,
    stop: () => {
      isStopped = true;
      cancelTick?.();
    },
  };
};
