export {
  createSimulatedDirectory,
  SIMULATED_SERVICE,
  SIMULATED_ZONE_COUNT,
} from './createSimulatedDirectory';
export { createStreamFixture, type StreamFixtureOptions } from './createStreamFixture';
export { simulateLoad, type SimulatedLoad, type SimulatedLoadResult } from './simulateLoad';
