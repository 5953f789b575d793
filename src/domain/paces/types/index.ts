export type { PaceSample } from './PaceSample';
export type { ServerPace } from './ServerPace';
