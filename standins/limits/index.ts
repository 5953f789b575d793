export { measureLimit, type LimitMeasure } from './measureLimit';
export { simulateLimits } from './simulateLimits';
export {
  LimitPolicy,
  type LimitArrival,
  type LimitSimulation,
  type LimitSimulationResult,
  type VmFault,
} from './types';
export { simulateRooms, type RoomSimulation, type RoomSimulationResult } from './simulateRooms';
