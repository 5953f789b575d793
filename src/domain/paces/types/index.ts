export type { PaceEstimate } from './PaceEstimate';
export type { PaceSample } from './PaceSample';
export type { ServerPace } from './ServerPace';
