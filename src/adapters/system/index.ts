export { createSystemClock } from './createSystemClock';
export { createSystemRandomness } from './createSystemRandomness';
