export type { GatewayOverrides } from './GatewayOverrides';
export type { GatewayParts } from './GatewayParts';
export type { SchedulingFactories } from './SchedulingFactories';
