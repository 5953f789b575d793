import type { GenerationEffect } from './GenerationEffect';
import type { GenerationState } from './GenerationState';

/** A new state and the effects to perform, in order. */
export interface Transition {
  readonly state: GenerationState;
  readonly effects: readonly GenerationEffect[];
}
