export type { GatewayOverrides } from './GatewayOverrides';
export type { GatewayParts } from './GatewayParts';
export type {
  SchedulerCandidate,
  SchedulerTransport,
  SchedulingFactories,
} from './SchedulingFactories';
