export { createPushedBody, type PushedBody } from './createPushedBody';
export { createSimulatedCaller, type CallerOutcome } from './createSimulatedCaller';
export { BROKEN, readEnd, REFUSED, SIMULATED_HEAD } from './createSimulatedClient';
export {
  createSimulatedDirectory,
  SIMULATED_SERVICE,
  SIMULATED_ZONE_COUNT,
} from './createSimulatedDirectory';
export { createSimulatedForwarder, DEADLINE_MS, SIMULATED_TABLE } from './createSimulatedForwarder';
export { createStreamFixture, type StreamFixtureOptions } from './createStreamFixture';
export { simulateLoad, type SimulatedLoad, type SimulatedLoadResult } from './simulateLoad';
