export {
  createSimulatedDirectory,
  SIMULATED_SERVICE,
  SIMULATED_ZONE_COUNT,
} from './createSimulatedDirectory';
export { simulateLoad, type SimulatedLoad, type SimulatedLoadResult } from './simulateLoad';
