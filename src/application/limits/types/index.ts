export type { LimitPeer } from './LimitPeer';
export type { PassedLimits } from './PassedLimits';
export type { PermitRequest } from './PermitRequest';
