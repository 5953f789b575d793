import type { Clock, EventLog } from '../../ports';
import type { ScheduleRequest, ScheduleResponse, StreamScheduler } from '../types';

/** Dependencies of the scheduler registry. */
export interface SchedulerRegistryDependencies {
  readonly createScheduler: (service: string) => StreamScheduler;
  /** Whether the configuration in force has the service. */
  readonly hasService: (service: string) => boolean;
  readonly clock: Pick<Clock, 'readMonotonicMs' | 'startTimer'>;
  readonly log: EventLog;
}

/** The schedulers of this VM, by service. */
export interface SchedulerRegistry {
  /** Passes a request to the scheduler of its service, which is created if there is none. */
  handleRequest(request: ScheduleRequest): ScheduleResponse;
  /** Stops all schedulers and refuses later requests: another VM takes over. */
  stopAccepting(): void;
  stop(): void;
  /** Counts the demands that wait at all schedulers. */
  countWaiting(): number;
  listServices(): readonly string[];
}

/**
 * A scheduler without a request for this long is not asked any more: another VM ranks first, or
 * nobody uses the service.
 */
const IDLE_SCHEDULER_TIMEOUT_MS = 30_000;

const NOT_OWNER: ScheduleResponse = { isOwner: false, decisions: [] };

/** A scheduler that runs at this VM. */
interface RunningScheduler {
  readonly scheduler: StreamScheduler;
  lastRequestMs: number;
  cancelTimer: () => void;
}

/** Creates the registry of this VM's schedulers. */
export const createSchedulerRegistry = ({
  clock,
  createScheduler,
  hasService,
  log,
}: SchedulerRegistryDependencies): SchedulerRegistry => {
  const runningByService = new Map<string, RunningScheduler>();
  let isAccepting = true;

  const stopScheduler = (service: string, reason: string): void => {
    const running = runningByService.get(service);
    if (!running) return;
    runningByService.delete(service);
    running.cancelTimer();
    const waiting = running.scheduler.countWaiting();
    running.scheduler.stop();
    log.info('scheduler stopped', { service, reason, waiting });
  };

  const stopAll = (reason: string): void => {
    isAccepting = false;
    [...runningByService.keys()].forEach((service) => stopScheduler(service, reason));
  };

  const startIdleTimer = (service: string): void => {
    const running = runningByService.get(service);
    if (!running) return;
    const readLeftMs = (): number =>
      running.lastRequestMs + IDLE_SCHEDULER_TIMEOUT_MS - clock.readMonotonicMs();
    running.cancelTimer = clock.startTimer(readLeftMs(), () => {
      if (readLeftMs() <= 0) stopScheduler(service, 'no requests');
      else startIdleTimer(service);
    });
  };

  const startScheduler = (service: string): RunningScheduler => {
    const running = {
      scheduler: createScheduler(service),
      lastRequestMs: clock.readMonotonicMs(),
      cancelTimer: () => undefined,
    };
    runningByService.set(service, running);
    startIdleTimer(service);
    log.info('scheduler started', { service });
    return running;
  };

  return {
    handleRequest: (request) => {
      const { service } = request;
      if (!isAccepting) return NOT_OWNER;
      if (!hasService(service)) {
        stopScheduler(service, 'unknown service');
        return NOT_OWNER;
      }
      const running = runningByService.get(service) ?? startScheduler(service);
      running.lastRequestMs = clock.readMonotonicMs();
      return running.scheduler.handleRequest(request);
    },
    stopAccepting: () => stopAll('VM is shutting down'),
    stop: () => stopAll('stopped'),
    countWaiting: () =>
      [...runningByService.values()].reduce(
        (sum, { scheduler }) => sum + scheduler.countWaiting(),
        0,
      ),
    listServices: () => [...runningByService.keys()],
  };
};
