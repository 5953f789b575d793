import type { GenerationEffect } from './GenerationEffect';
import type { GenerationState } from './GenerationState';

/** A new state and what is to be done on the way to it. */
export interface Transition {
  readonly state: GenerationState;
  readonly effects: readonly GenerationEffect[];
}
