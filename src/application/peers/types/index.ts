export type { OperatorCalls } from './OperatorCalls';
export type { PeerCalls } from './PeerCalls';
export type { PeerError } from './PeerError';
export type { PeerServices } from './PeerServices';
export type { PeerFreshness } from './PeerFreshness';
export type { PeerView } from './PeerView';
export type { VersionSource } from './VersionSource';
