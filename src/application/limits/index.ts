export { createLimitOwner, type LimitOwner } from './createLimitOwner';
export { createPermitClient, type Permit, type PermitClient } from './createPermitClient';
export { createServerLimits, type AdvertisedLimit, type ServerLimits } from './createServerLimits';
export type { LimitPeer, GossipedLimits, PermitRelease, PermitRequest } from './types';
