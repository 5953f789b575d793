export {
  simulateRollout,
  VersionTrait,
  type RolloutSimulation,
  type RolloutSimulationResult,
} from './simulateRollout';
