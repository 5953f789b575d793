export type { PaceEstimate } from './PaceEstimate';
export type { PaceSample } from './PaceSample';
export type { RelativePace } from './RelativePace';
export type { ServerPace } from './ServerPace';
