export type { DiscoverySource, MemberDiscovery, DiscoveredVm } from './_lib/createMemberDiscovery';
export { createPeerExchange } from './createPeerExchange';
export type { PeerExchange, PeerExchangeDependencies } from './createPeerExchange';
export type {
  OperatorCalls,
  PeerCalls,
  PeerError,
  PeerFreshness,
  PeerServices,
  PeerView,
  VersionSource,
} from './types';
