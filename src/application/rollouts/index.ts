export { createRolloutJudge, type RolloutJudge } from './createRolloutJudge';
export {
  createRolloutRows,
  type RolloutRows,
  type StoredVerdict,
  type VerdictCodec,
} from './createRolloutRows';
export { createRollouts, type KnownRollout, type Rollouts } from './createRollouts';
export { createTrialReporter, type TrialReporter } from './createTrialReporter';
export type {
  AttemptOutcome,
  PassedVerdicts,
  RequestServers,
  RolloutPeer,
  TrialReport,
} from './types';
