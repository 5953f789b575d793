export type { LimitOwnerVm } from './LimitOwnerVm';
export type { LimitPeer } from './LimitPeer';
export type { GossipedLimits } from './GossipedLimits';
export type { PermitRelease } from './PermitRelease';
export type { PermitRequest } from './PermitRequest';
export type { RoomRelease } from './RoomRelease';
export type { RoomRequest } from './RoomRequest';
