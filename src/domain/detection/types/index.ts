export type { FirstTokenSample } from './FirstTokenSample';
export type { GapStatistics } from './GapStatistics';
export type { SilenceLimits } from './SilenceLimits';
