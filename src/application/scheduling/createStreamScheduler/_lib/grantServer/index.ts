import type { ScheduleDecision, ServerChoice } from '../../../../../domain/scheduling';
import type { Clock } from '../../../../ports';
import type { DecisionRecord } from '../createDecisionRecord';
import type { DemandQueue, QueuedDemand } from '../createDemandQueue';
import type { GrantRecord } from '../createGrantRecord';
import type { ServerViews } from '../createServerViews';
import type { StartForecast } from '../createStartForecast';

/** Where a grant is recorded. */
export interface GrantParts {
  readonly clock: Pick<Clock, 'readMonotonicMs'>;
  readonly decisions: DecisionRecord;
  readonly forecast: Pick<StartForecast, 'recordStart'>;
  readonly grants: GrantRecord;
  readonly queue: DemandQueue;
  readonly views: ServerViews;
}

/** The choice for a demand, and whether it is part of a response to its VM. */
export interface GrantedChoice extends ServerChoice {
  readonly isAnswered: boolean;
}

/** Grants a server to a waiting demand and counts the run at the server from now on. */
export const grantServer = (
  { clock, decisions, forecast, grants, queue, views }: GrantParts,
  entry: QueuedDemand,
  { backup, firstEventMs, isAnswered, prefillMs, server }: GrantedChoice,
): ScheduleDecision => {
  const nowMs = clock.readMonotonicMs();
  const { outputTokens, promptTokens, ticket } = entry.demand;
  const decision = {
    kind: 'send',
    ticket,
    server: server.id,
    backup: backup?.id ?? null,
    predictedMs: Math.round(firstEventMs),
    isFree: server.pendingPrefillMs === 0,
  } as const;
  const kvTokens = promptTokens + outputTokens;
  queue.remove(ticket, true);
  views.recordChange(server.id, { ticket, runs: 1, kvTokens, prefillMs });
  if (backup) views.recordChange(backup.id, { ticket, runs: 0, kvTokens, prefillMs: 0 });
  grants.add({ decision, grantedAtMs: nowMs, isAnswered });
  forecast.recordStart(entry.requestClass, nowMs);
  decisions.record(entry, decision, {
    waiting: queue.list().length,
    startsPerS: -1,
    runs: server.runs,
    kvUsed: server.kvUsedTokens,
    reportAgeMs: views.readReportAgeMs(server.id),
  });
  return decision;
};
