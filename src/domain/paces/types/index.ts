export type { PaceSample } from './PaceSample';
export type { PaceEstimate } from './PaceEstimate';
export type { RelativePace } from './RelativePace';
export type { ServerPace } from './ServerPace';
