export type { FleetLoad, FleetLoadView } from './FleetLoad';
export type { FleetLoadCalls, FleetLoadDependencies, FleetLoadPeer } from './FleetLoadDependencies';
