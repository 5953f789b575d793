export { SlopeAxis } from './SlopeAxis';
export type { SlopeFit } from './SlopeFit';
export type { SlopeLoad } from './SlopeLoad';
export type { SlopePoint } from './SlopePoint';
