export { createSchedulerClient, type SchedulerClientDependencies } from './createSchedulerClient';
export {
  createSchedulerRegistry,
  type SchedulerRegistry,
  type SchedulerRegistryDependencies,
} from './createSchedulerRegistry';
export { createStreamScheduler } from './createStreamScheduler';
export type {
  DeliverDecision,
  DeliveredDecision,
  EndedRun,
  ScheduleRequest,
  ScheduleResponse,
  SchedulerClient,
  SchedulerTransport,
  SchedulingDirectory,
  SchedulingMeter,
  SchedulingOutcome,
  SchedulingVm,
  StartedRun,
  StreamDemandOptions,
  StreamScheduler,
  StreamSchedulerDependencies,
} from './types';
