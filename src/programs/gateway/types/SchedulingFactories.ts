import type {
  DeliverDecision,
  SchedulerClient,
  SchedulerTransport,
  StreamScheduler,
} from '../../../application/scheduling';
import type { SchedulerCandidate } from '../../../domain/scheduling';

/** Creates the parts of scheduling from their transport. */
export interface SchedulingFactories {
  /** Creates the scheduler of a service, which sends its later decisions by `deliver`. */
  readonly createScheduler: (service: string, deliver: DeliverDecision) => StreamScheduler;
  readonly createClient: (transport: SchedulerTransport) => SchedulerClient;
  /** Ranks the VMs that may schedule a service; all VMs with the same candidates agree. */
  readonly rankSchedulers: (
    candidates: readonly SchedulerCandidate[],
    service: string,
  ) => readonly SchedulerCandidate[];
}
