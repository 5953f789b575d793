import type {
  DeliverDecision,
  ScheduleRequest,
  ScheduleResponse,
  SchedulerClient,
  SchedulingVm,
  StreamScheduler,
} from '../../../application/scheduling';

/** A VM that may schedule a service. */
export interface SchedulerCandidate {
  readonly vm: string;
  readonly availabilityZone: string;
  /** Processor share; 0 if it is not known. */
  readonly cores: number;
}

/** How this VM's streams reach the schedulers of their services. */
export interface SchedulerTransport {
  readonly self: SchedulingVm;
  /** Lists the VMs that may schedule a service, the first by rank first; may include this one. */
  readonly listSchedulers: (service: string) => readonly SchedulingVm[];
  /**
   * Sends a request to another VM.
   *
   * @returns the response, also if it is later than streams wait for it, as it may hold grants that
   * have to be cancelled; null if the VM does not respond
   */
  readonly askPeer: (address: string, request: ScheduleRequest) => Promise<ScheduleResponse | null>;
  /** Passes a request to the schedulers of this VM. */
  readonly handleLocally: (request: ScheduleRequest) => ScheduleResponse;
}

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
