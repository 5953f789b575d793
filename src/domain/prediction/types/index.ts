export type { OutputLengthSamples } from './OutputLengthSamples';
