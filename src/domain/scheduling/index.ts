export { isScheduled, type IsScheduledOptions } from './isScheduled';
export * from './types';
