export type { AttemptEnd, AttemptProgress, ConnectionEnd } from './AttemptEnd';
export type { Quarantine } from './Quarantine';
export type { RunOutcome, SharedOutcome } from './RunOutcome';
