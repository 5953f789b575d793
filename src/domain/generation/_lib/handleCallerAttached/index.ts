import type { GenerationState, Transition } from '../../types';
import { recoverGeneration } from '../recoverGeneration';

/**
 * Adds a caller that follows the generation; a parked generation continues.
 *
 * @param state - State of the generation.
 * @returns The next step.
 */
export const handleCallerAttached = (state: GenerationState): Transition => {
  const attached = { ...state, callers: state.callers + 1 };
  if (state.phase !== 'parked') return { state: attached, effects: [] };
  return recoverGeneration({ ...attached, phase: 'running', attemptsWithoutProgress: 0 });
};
