import type { GenerationState, Transition } from '../../types';
import { recoverGeneration } from '../recoverGeneration';

/**
 * Handles a caller that follows the generation from now on; a parked one goes on.
 *
 * @param state - Generation.
 * @returns The next step.
 */
export const handleCallerAttached = (state: GenerationState): Transition => {
  const attached = { ...state, callers: state.callers + 1 };
  if (state.phase !== 'parked') return { state: attached, effects: [] };
  return recoverGeneration({ ...attached, phase: 'running', attemptsWithoutProgress: 0 });
};
