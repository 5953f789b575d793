export { createGenerationState, type GenerationStart } from './createGenerationState';
export { updateGeneration } from './updateGeneration';
export {
  StreamRetention,
  AttemptPhase,
  type Attempt,
  type GenerationEffect,
  type GenerationFailure,
  type GenerationInput,
  type GenerationPolicy,
  type GenerationState,
  type ReaderId,
  type Transition,
} from './types';
