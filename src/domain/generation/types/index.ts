export { AttemptPhase, type Attempt, type ReaderId } from './Attempt';
export type { GenerationEffect, GenerationFailure } from './GenerationEffect';
export type { GenerationInput } from './GenerationInput';
export { StreamRetention, type GenerationPolicy, type GenerationState } from './GenerationState';
export type { Transition } from './Transition';
