export { createGenerationState, type GenerationStart } from './createGenerationState';
export { updateGeneration } from './updateGeneration';
export {
  AfterDisconnect,
  AttemptPhase,
  type Attempt,
  type GenerationEffect,
  type GenerationFailure,
  type GenerationInput,
  type GenerationPolicy,
  type GenerationState,
  type Reader,
  type Transition,
} from './types';
