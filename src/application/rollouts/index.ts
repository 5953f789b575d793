export { createRolloutJudge, type RolloutJudge } from './createRolloutJudge';
export {
  createVerdictStore,
  type VerdictStore,
  type StoredVerdict,
  type VerdictCodec,
} from './createVerdictStore';
export {
  createRolloutRegistry,
  type RolloutSnapshot,
  type RolloutRegistry,
} from './createRolloutRegistry';
export { createTrialReporter, type TrialReporter } from './createTrialReporter';
export type {
  AttemptOutcome,
  VerdictGossip,
  EligibleServers,
  RolloutPeer,
  TrialReport,
} from './types';
