export { INITIAL_QUALITY } from './ServerQuality';
export type { ServerQuality } from './ServerQuality';
