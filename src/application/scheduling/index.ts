export { createSchedulerClient, type SchedulerClientDependencies } from './createSchedulerClient';
export type {
  DeliverDecision,
  DeliveredDecision,
  EndedRun,
  ScheduleRequest,
  ScheduleResponse,
  SchedulerClient,
  SchedulingMeter,
  SchedulingOutcome,
  SchedulingVm,
  StartedRun,
  StreamDemandOptions,
  StreamScheduler,
} from './types';
