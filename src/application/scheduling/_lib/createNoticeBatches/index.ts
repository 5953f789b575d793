import type { Clock } from '../../../ports';
import type { ScheduleRequest } from '../../types';

/** What a VM tells the scheduler besides its demands. */
export type SchedulingNotices = Pick<
  ScheduleRequest,
  'cancelledTickets' | 'endedRuns' | 'startedRuns'
>;

/** Notices that wait for the next message to the scheduler of their service. */
export interface NoticeBatches {
  add(service: string, notices: Partial<SchedulingNotices>): void;
  /** Takes all notices of a service, for a message that is about to be sent. */
  take(service: string): SchedulingNotices;
  stop(): void;
}

interface Batch {
  readonly notices: SchedulingNotices;
  readonly cancelTimer: () => void;
}

const NO_NOTICES: SchedulingNotices = { cancelledTickets: [], endedRuns: [], startedRuns: [] };

/** Time that a notice waits for others, or for a message that is sent anyway. */
const BATCH_MS = 20;

/**
 * Creates batches of notices by service.
 *
 * @param options.handleDue - called when notices have waited long enough for another message
 */
export const createNoticeBatches = ({
  clock,
  handleDue,
}: {
  readonly clock: Clock;
  readonly handleDue: (service: string) => void;
}): NoticeBatches => {
  const batches = new Map<string, Batch>();
  return {
    add: (service, added) => {
      const { cancelTimer, notices } = batches.get(service) ?? {
        cancelTimer: clock.startTimer(BATCH_MS, () => handleDue(service)),
        notices: NO_NOTICES,
      };
      batches.set(service, {
        cancelTimer,
        notices: {
          cancelledTickets: [...notices.cancelledTickets, ...(added.cancelledTickets ?? [])],
          endedRuns: [...notices.endedRuns, ...(added.endedRuns ?? [])],
          startedRuns: [...notices.startedRuns, ...(added.startedRuns ?? [])],
        },
      });
    },
    take: (service) => {
      const batch = batches.get(service);
      batch?.cancelTimer();
      batches.delete(service);
      return batch?.notices ?? NO_NOTICES;
    },
    stop: () => {
      batches.forEach(({ cancelTimer }) => cancelTimer());
      batches.clear();
    },
  };
};
