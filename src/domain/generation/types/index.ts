export { AttemptPhase, type Attempt, type Reader } from './Attempt';
export type { GenerationEffect, GenerationFailure } from './GenerationEffect';
export type { GenerationInput } from './GenerationInput';
export { AfterDisconnect, type GenerationPolicy, type GenerationState } from './GenerationState';
export type { Transition } from './Transition';
