export {
  runRolloutModel,
  VersionTrait,
  type RolloutModel,
  type RolloutModelResult,
} from './runRolloutModel';
