export { streamGeneration } from './streamGeneration';
export { GenerationLostError } from './types';
export type { GenerationBatch, StreamGenerationOptions } from './types';
