export type {
  DeliveredDecision,
  EndedRun,
  ScheduleRequest,
  ScheduleResponse,
  SchedulingVm,
  StartedRun,
} from './ScheduleRequest';
export type { SchedulerClient, SchedulingOutcome, StreamDemandOptions } from './SchedulerClient';
export type { SchedulingMeter } from './SchedulingMeter';
export type { DeliverDecision, StreamScheduler } from './StreamScheduler';
export type { SchedulerTransport } from './SchedulerTransport';
export type { SchedulingDirectory } from './SchedulingDirectory';
export type { StreamSchedulerDependencies } from './StreamSchedulerDependencies';
