import type { ScheduleDecision } from '../../../domain/scheduling';
import type { Randomness } from '../../ports';
import { buildDemand, type DemandEntry } from '../_lib/buildDemand';
import { createNoticeBatches } from '../_lib/createNoticeBatches';
import {
  createSchedulerCalls,
  type SchedulerAnswer,
  type SchedulerCallsDependencies,
} from '../_lib/createSchedulerCalls';
import { hasWaitingRoom } from '../_lib/hasWaitingRoom';
import type { SchedulerClient, SchedulingOutcome, SchedulingVm } from '../types';

/** Dependencies of the scheduler client. */
export interface SchedulerClientDependencies extends SchedulerCallsDependencies {
  readonly randomness: Randomness;
}

/** Interval between renewals of the waiting demands of a service. */
const RENEWAL_INTERVAL_MS = 500;

/** Time after which to come back when this VM can hold no more: through another VM. */
const FULL_RETURN_MS = 200;

/** Random part of a ticket, unique among the starts of one VM within the life of a demand. */
const TICKET_RANDOM_BYTES = 4;

/**
 * Creates the client of the schedulers.
 *
 * Demands are complete in each message, so that a message may be lost, repeated or sent to another
 * scheduler.
 */
export const createSchedulerClient = ({
  randomness,
  ...dependencies
}: SchedulerClientDependencies): SchedulerClient => {
  const { clock, log, self } = dependencies;
  const { availabilityZone } = self;
  // A restarted VM of the same name must not reuse the tickets that schedulers still know.
  const ticketPrefix = `${self.vm}-${randomness.readHex(TICKET_RANDOM_BYTES)}`;
  const calls = createSchedulerCalls(dependencies);
  /** Demands without an outcome, by ticket. */
  const entries = new Map<string, DemandEntry>();
  /** Functions that cancel the next renewal, by service. */
  const renewals = new Map<string, () => void>();
  let lastTicket = 0;

  const isOpen = ({ ticket }: DemandEntry): boolean => entries.has(ticket);
  const listWaiting = (): readonly DemandEntry[] =>
    [...entries.values()].filter(({ isWaiting }) => isWaiting);

  // Assigned below: responses start renewals, and these ask again.
  let ask: (service: string, asked: readonly DemandEntry[]) => void = () => undefined;
  const batches = createNoticeBatches({ clock, handleDue: (service) => ask(service, []) });

  const cancelTicket = ({ service, ticket }: DemandEntry): void =>
    batches.add(service, { cancelledTickets: [ticket] });

  /** Returns a grant that the stream does not use, unless it is the one that it uses. */
  const releaseUnused = (
    { grant, service, ticket }: DemandEntry,
    server: string,
    scheduler: SchedulingVm,
  ): void => {
    const isSameSender = !grant?.scheduler || grant.scheduler.vm === scheduler.vm;
    if (grant && grant.server === server && isSameSender) return;
    calls.notifyScheduler(scheduler, {
      sender: self,
      service,
      demands: [],
      cancelledTickets: [ticket],
      startedRuns: [],
      endedRuns: [],
    });
  };

  const close = (entry: DemandEntry, outcome: SchedulingOutcome): void => {
    if (entries.delete(entry.ticket)) entry.close(outcome);
  };

  const startRenewals = (service: string): void => {
    if (renewals.has(service)) return;
    const handleRenewalDue = (): void => {
      renewals.delete(service);
      const waiting = listWaiting().filter((entry) => entry.service === service);
      if (waiting.length === 0) return;
      startRenewals(service);
      ask(service, waiting);
    };
    renewals.set(service, clock.startTimer(RENEWAL_INTERVAL_MS, handleRenewalDue));
  };

  const handlers: {
    readonly [K in ScheduleDecision['kind']]: (
      entry: DemandEntry,
      decision: Extract<ScheduleDecision, { kind: K }>,
      scheduler: SchedulingVm | null,
    ) => void;
  } = {
    send: (entry, decision, scheduler) => {
      Object.assign(entry, { grant: { server: decision.server, scheduler } });
      const cancel = (): void => {
        if (!entry.grant) return;
        Object.assign(entry, { grant: null });
        cancelTicket(entry);
      };
      const waitedMs = clock.readMonotonicMs() - entry.startedAtMs;
      close(entry, { ...decision, waitedMs, cancel });
    },
    wait: (entry, { predictedMs }) => {
      if (entry.isWaiting) return;
      if (!hasWaitingRoom(listWaiting(), entry)) {
        cancelTicket(entry);
        const reason = 'this VM holds too many waiting streams';
        close(entry, { kind: 'refuse', reason, returnMs: FULL_RETURN_MS });
        return;
      }
      Object.assign(entry, { isWaiting: true });
      log.info('stream waits', {
        requestId: entry.demand?.requestId ?? '',
        service: entry.service,
        ticket: entry.ticket,
        predictedMs: Math.round(predictedMs),
        ...entry.demand?.requestClass,
      });
      startRenewals(entry.service);
    },
    refuse: (entry, { reason, returnMs }) => close(entry, { kind: 'refuse', reason, returnMs }),
  };

  const handleDecision = (
    entry: DemandEntry,
    decision: ScheduleDecision,
    scheduler: SchedulingVm | null,
  ): void => {
    const handle = handlers[decision.kind] as typeof handleDecision;
    handle(entry, decision, scheduler);
  };

  const handleResponse = (asked: readonly DemandEntry[], answer: SchedulerAnswer): void => {
    const decisions = new Map(
      answer.response.decisions.map((decision) => [decision.ticket, decision]),
    );
    asked.forEach((entry) => {
      const decision = decisions.get(entry.ticket);
      if (!decision) close(entry, { kind: 'unknown' });
      else if (isOpen(entry)) handleDecision(entry, decision, answer.scheduler);
      else if (decision.kind === 'send') releaseUnused(entry, decision.server, answer.scheduler);
    });
  };

  // Without an answer the VM decides by itself.
  ask = async (service, asked) => {
    const notices = batches.take(service);
    const handleLate = ({ response, scheduler }: SchedulerAnswer): void => {
      const byTicket = new Map(asked.map((entry) => [entry.ticket, entry]));
      response.decisions.forEach((decision) => {
        const entry = byTicket.get(decision.ticket);
        if (entry && decision.kind === 'send') releaseUnused(entry, decision.server, scheduler);
      });
    };
    const buildRequest = () => ({
      sender: self,
      service,
      // Reading a demand may end it: its route or key may be gone.
      demands: asked
        .filter(isOpen)
        .map((entry) => ({
          entry,
          demand: buildDemand(entry, { availabilityZone, nowMs: clock.readMonotonicMs() }),
        }))
        .filter(({ entry }) => isOpen(entry))
        .map(({ demand }) => demand),
      ...notices,
    });
    const answer = await calls.askScheduler(service, buildRequest, handleLate).catch((error) => {
      const reason = error instanceof Error ? error.message : 'unknown';
      log.error('scheduler call failed unexpectedly', { service, reason });
      return null;
    });
    if (answer) handleResponse(asked, answer);
    else asked.forEach((entry) => close(entry, { kind: 'unknown' }));
  };

  return {
    requestServer: (service, readDemand, signal) =>
      new Promise((resolve) => {
        if (signal.aborted) {
          resolve({ kind: 'cancelled' });
          return;
        }
        lastTicket += 1;
        const entry: DemandEntry = {
          ticket: `${ticketPrefix}-${lastTicket}`,
          service,
          readDemand,
          startedAtMs: clock.readMonotonicMs(),
          close: resolve,
          demand: null,
          isWaiting: false,
          grant: null,
        };
        const handleAbort = (): void => {
          if (!isOpen(entry)) return;
          cancelTicket(entry);
          close(entry, { kind: 'cancelled' });
        };
        signal.addEventListener('abort', handleAbort, { once: true });
        entries.set(entry.ticket, entry);
        ask(service, [entry]);
      }),
    recordStarted: (service, run) => batches.add(service, { startedRuns: [run] }),
    recordEnded: (service, run) => batches.add(service, { endedRuns: [run] }),
    handleDelivery: ({ decision, service }) => {
      const entry = entries.get(decision.ticket);
      if (!entry || entry.service !== service) return false;
      handleDecision(entry, decision, null);
      return true;
    },
    refuseWaiting: (reason, returnMs) =>
      [...entries.values()].forEach((entry) => {
        cancelTicket(entry);
        close(entry, { kind: 'refuse', reason, returnMs });
      }),
    countWaiting: () => listWaiting().length,
    stop: () => {
      renewals.forEach((cancel) => cancel());
      renewals.clear();
      [...entries.values()].forEach((entry) => close(entry, { kind: 'cancelled' }));
      batches.stop();
    },
  };
};
