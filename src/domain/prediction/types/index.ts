export type { OutputSamples } from './OutputSamples';
