export { createFleetLoad } from './createFleetLoad';
export type {
  FleetLoad,
  FleetLoadCalls,
  FleetLoadDependencies,
  FleetLoadPeer,
  FleetLoadView,
} from './types';
