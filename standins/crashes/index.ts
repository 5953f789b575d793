export { CONTACT_MS, countLateArrivals } from './countLateArrivals';
export { createCrashingServers, type Arrival, type CrashingServers } from './createCrashingServers';
export { createTrackerFixture } from './createTrackerFixture';
export { findFifthCrashMs } from './findFifthCrashMs';
export type { ServerFault } from './createFailingServers';
export { simulateBadParts, type BadPartResult, type BadPartSimulation } from './simulateBadParts';
export {
  simulateCrashes,
  type CrashSimulation,
  type CrashSimulationResult,
  type SimulatedStream,
  type SimulatedTraffic,
} from './simulateCrashes';
export { simulateRepeats } from './simulateRepeats';
export type { RepeatOutcome, RepeatResult, RepeatSimulation, RepeatWorld } from './types';
