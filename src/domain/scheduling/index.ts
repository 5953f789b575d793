export { chooseScheduledServer, type ServerChoice } from './chooseScheduledServer';
export { compareRequestClasses } from './compareRequestClasses';
export { compareWaitingDemands } from './compareWaitingDemands';
export { computeMaxWaitMs } from './computeMaxWaitMs';
export { computeRunMs } from './computeRunMs';
export { computeStartRate } from './computeStartRate';
export { decideWaiting, START_MARGIN_MS, type WaitingDecision } from './decideWaiting';
export { formatRequestClass } from './formatRequestClass';
export { hasScheduledService } from './hasScheduledService';
export { isScheduled, type IsScheduledOptions } from './isScheduled';
export { isServerAllowed } from './isServerAllowed';
export { isServerOpen } from './isServerOpen';
export { isShareOwed } from './isShareOwed';
export { isStreamStartable } from './isStreamStartable';
export { predictQueueWaitMs } from './predictQueueWaitMs';
export { rankSchedulers, type SchedulerCandidate } from './rankSchedulers';
export type {
  RequestClass,
  ScheduleDecision,
  ScheduledServer,
  StreamDemand,
  WaitingDemand,
} from './types';
