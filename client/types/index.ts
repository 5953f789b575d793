export type { GenerationBatch } from './GenerationBatch';
export { GenerationLostError } from './GenerationLostError';
export type { GenerationProgress } from './GenerationProgress';
export type { ServerSentEvent } from './ServerSentEvent';
export type { StreamGenerationOptions } from './StreamGenerationOptions';
export type { StreamFailure } from './StreamFailure';
