export { createLimitOwner, type LimitOwner } from './createLimitOwner';
export { createPermitClient, type Permit, type PermitClient } from './createPermitClient';
export {
  createRoomClient,
  type Room,
  type RoomClient,
  type RoomClientDependencies,
  type RoomTimes,
} from './createRoomClient';
export { createRoomOwner, type RoomOwner } from './createRoomOwner';
export { createServerPermits, type ServerPermit, type ServerPermits } from './createServerPermits';
export { createServerLimits, type AdvertisedLimit, type ServerLimits } from './createServerLimits';
export type {
  LimitPeer,
  GossipedLimits,
  PermitRelease,
  PermitRequest,
  RoomRelease,
  RoomRequest,
} from './types';
export { createReachedLimits, type ReachedLimits } from './createReachedLimits';
