export type { RequestClass } from './RequestClass';
export type { ScheduleDecision } from './ScheduleDecision';
export type { ScheduledServer } from './ScheduledServer';
export type { StreamDemand } from './StreamDemand';
export type { WaitingDemand } from './WaitingDemand';
