export { sumTallies } from './sumTallies';
export { chooseTrialServers } from './chooseTrialServers';
export { compareVerdicts } from './compareVerdicts';
export { computeTrialAllowance } from './computeTrialAllowance';
export { decideRollout, SWITCH_MS } from './decideRollout';
export { isSameOrder } from './isSameOrder';
export { judgeVersion } from './judgeVersion';
export {
  RolloutState,
  type RolloutOrder,
  type RolloutTallies,
  type RolloutVerdict,
  type RouteTally,
  type TrialBounds,
  type VersionJudgement,
  type VersionTally,
} from './types';
