export { GOOD_QUALITY } from './ServerQuality';
export type { ServerQuality } from './ServerQuality';
