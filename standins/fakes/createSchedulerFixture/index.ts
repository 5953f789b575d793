import {
  createStreamScheduler,
  type DeliveredDecision,
  type ScheduleRequest,
  type StreamScheduler,
} from '../../../src/application/scheduling';
import type { ServerReport, ServerStatus } from '../../../src/domain/forwarding';
import type { ScheduleDecision, StreamDemand } from '../../../src/domain/scheduling';
import { buildScheduledServer } from '../buildScheduledServer';
import { buildServerReport } from '../buildServerReport';
import { buildServerStatus } from '../buildServerStatus';
import { createFakeClock, type FakeClock } from '../createFakeClock';
import { createFixedPaces } from '../createFixedPaces';
import { createSeededRandomness } from '../createSeededRandomness';
import { QUIET_LOG } from '../quietLog';

/** A scheduler whose servers and VMs are controlled by a test. */
export interface SchedulerFixture {
  readonly clock: FakeClock;
  readonly scheduler: StreamScheduler;
  /** Reports by server; null: the server does not answer. */
  readonly reports: Map<string, ServerReport | null>;
  readonly statuses: Map<string, ServerStatus>;
  readonly delivered: DeliveredDecision[];
  /** Tickets that no VM needs any more. */
  readonly declined: Set<string>;
  send(change: Partial<ScheduleRequest>): readonly ScheduleDecision[];
  ask(...demands: StreamDemand[]): readonly ScheduleDecision['kind'][];
  /** Lists the servers that were granted so far, by ticket, in the order of the grants. */
  listGranted(): readonly string[];
}

/** Creates a scheduler of the service `s` with idle servers of one slot each. */
export const createSchedulerFixture = (servers: readonly string[], slots = 1): SchedulerFixture => {
  const clock = createFakeClock();
  const { pace } = buildScheduledServer('any');
  const reports = new Map<string, ServerReport | null>(
    servers.map((id) => [id, buildServerReport()]),
  );
  const statuses = new Map<string, ServerStatus>(
    servers.map((id) => {
      const status = buildServerStatus(id, 'za');
      return [id, { ...status, entry: { ...status.entry, slots } }];
    }),
  );
  const delivered: DeliveredDecision[] = [];
  const declined = new Set<string>();
  const granted: string[] = [];
  const recordGrant = (decision: ScheduleDecision): void => {
    if (decision.kind === 'send') granted.push(decision.ticket);
  };
  const scheduler = createStreamScheduler({
    service: 's',
    clock,
    log: QUIET_LOG,
    randomness: createSeededRandomness(1),
    directory: {
      listServing: () => [...statuses.values()],
      isHealthy: () => true,
      isRateLimited: () => false,
      recordSuspicion: () => undefined,
      recordStartTime: () => undefined,
      recordLeaving: () => undefined,
    },
    readReport: async ({ id }) => reports.get(id) ?? null,
    paces: createFixedPaces(pace),
    deliverDecision: async (_, decision) => {
      delivered.push(decision);
      if (declined.has(decision.decision.ticket)) return false;
      recordGrant(decision.decision);
      return true;
    },
    meter: { recordDecision: () => undefined },
  });
  const send = (change: Partial<ScheduleRequest>): readonly ScheduleDecision[] => {
    const { decisions } = scheduler.handleRequest({
      sender: { vm: 'vm', address: 'vm:1', availabilityZone: 'za' },
      service: 's',
      demands: [],
      cancelledTickets: [],
      startedRuns: [],
      endedRuns: [],
      ...change,
    });
    decisions.forEach(recordGrant);
    return decisions;
  };
  return {
    clock,
    scheduler,
    reports,
    statuses,
    delivered,
    declined,
    send,
    ask: (...demands) => send({ demands }).map(({ kind }) => kind),
    listGranted: () => granted,
  };
};
