export { createGenerationState, type GenerationStart } from './createGenerationState';
export { updateGeneration } from './updateGeneration';
export {
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
