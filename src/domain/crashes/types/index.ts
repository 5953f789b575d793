export type { AttemptEnd, AttemptProgress, ConnectionEnd } from './AttemptEnd';
export type { CrashedServer } from './CrashedServer';
export type {
  CrashShareEvidence,
  CrashShareReason,
  CrashShareVerdict,
  CrashSuspect,
} from './CrashShare';
export { MAX_QUARANTINE_SERVERS, type Quarantine } from './Quarantine';
export type { PartTally, VmRuns } from './PartTally';
export { SAME_CAUSE_MS, WHOLE_RUN_MS, type RunOutcome, type SharedOutcome } from './RunOutcome';
