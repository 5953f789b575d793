import { createSkipList } from '../../../_lib/createSkipList';
import type { Clock, EventLog } from '../../../ports';
import type {
  ScheduleRequest,
  ScheduleResponse,
  SchedulerTransport,
  SchedulingVm,
} from '../../types';

/** Dependencies of the calls to schedulers. */
export interface SchedulerCallsDependencies extends SchedulerTransport {
  readonly clock: Clock;
  readonly log: EventLog;
}

/** A response and the scheduler that sent it. */
export interface SchedulerAnswer {
  readonly scheduler: SchedulingVm;
  readonly response: ScheduleResponse;
}

/** Calls to the schedulers of services. */
export interface SchedulerCalls {
  /**
   * Asks the first scheduler by rank, and the next one if it does not respond or does not schedule.
   *
   * @param buildRequest - builds the message, anew for each scheduler
   * @param handleLate - called with a response that arrives after its timeout
   * @returns null if no scheduler answered
   */
  askScheduler(
    service: string,
    buildRequest: () => ScheduleRequest,
    handleLate: (answer: SchedulerAnswer) => void,
  ): Promise<SchedulerAnswer | null>;
  /** Sends a message whose response does not matter. */
  notifyScheduler(scheduler: SchedulingVm, request: ScheduleRequest): void;
}

/** Timeout of one call. A scheduler responds within some milliseconds. */
const CALL_TIMEOUT_MS = 200;

/** Maximum number of schedulers asked for one message. */
const MAX_SCHEDULERS = 2;

/** Creates the calls to the schedulers of services. */
export const createSchedulerCalls = ({
  askPeer,
  clock,
  handleLocally,
  listSchedulers,
  log,
  self,
}: SchedulerCallsDependencies): SchedulerCalls => {
  /** By service and VM: a VM that schedules one service may not know another one. */
  const skipped = createSkipList(clock);
  const formatKey = (service: string, vm: string): string => `${service}\n${vm}`;

  const chooseScheduler = (service: string): SchedulingVm | null => {
    const ranked = listSchedulers(service);
    return ranked.find(({ vm }) => !skipped.has(formatKey(service, vm))) ?? null;
  };

  const askOnce = (
    scheduler: SchedulingVm,
    request: ScheduleRequest,
    handleLate: (answer: SchedulerAnswer) => void,
  ): Promise<ScheduleResponse | null> => {
    if (scheduler.vm === self.vm) return Promise.resolve(handleLocally(request));
    return new Promise((resolve) => {
      let isOverdue = false;
      const cancelTimer = clock.startTimer(CALL_TIMEOUT_MS, () => {
        isOverdue = true;
        resolve(null);
      });
      const handleResponse = (response: ScheduleResponse | null): void => {
        cancelTimer();
        if (isOverdue && response) handleLate({ scheduler, response });
        resolve(response);
      };
      askPeer(scheduler.address, request).then(handleResponse, () => handleResponse(null));
    });
  };

  return {
    askScheduler: async (service, buildRequest, handleLate) => {
      for (let tried = 0; tried < MAX_SCHEDULERS; tried += 1) {
        const scheduler = chooseScheduler(service);
        if (!scheduler) return null;
        const response = await askOnce(scheduler, buildRequest(), handleLate);
        if (response?.isOwner) return { scheduler, response };
        skipped.add(formatKey(service, scheduler.vm));
        log.info('scheduler skipped', {
          service,
          scheduler: scheduler.vm,
          reason: response ? 'does not schedule' : 'no answer',
        });
      }
      return null;
    },
    notifyScheduler: (scheduler, request) => {
      askOnce(scheduler, request, () => undefined);
    },
  };
};
