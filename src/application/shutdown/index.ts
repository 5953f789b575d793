export { createShutdown } from './createShutdown';
export type { DrainOutcome, Shutdown, Work } from './createShutdown';
