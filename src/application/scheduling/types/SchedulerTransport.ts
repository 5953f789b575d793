import type { ScheduleRequest, ScheduleResponse, SchedulingVm } from './ScheduleRequest';

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
