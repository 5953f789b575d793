export type { MemberSource, MemberSources, NamedVm } from './_lib/createMemberSources';
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
