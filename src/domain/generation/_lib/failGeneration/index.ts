import { RunState } from '../../../types';
import type { GenerationFailure, GenerationState, Transition } from '../../types';

const determineRunState = (state: GenerationState): RunState => {
  if (state.offset > 0) return RunState.Ran;
  return state.mayHaveStarted ? RunState.Unknown : RunState.NotRun;
};

/**
 * Ends a generation with a failure and cancels its attempts.
 *
 * @param state - State of the generation.
 * @param failure - Error for the caller; the run state is derived from the state.
 * @returns Failed state, and the effects that cancel the attempts and report the failure.
 */
export const failGeneration = (
  state: GenerationState,
  failure: Omit<GenerationFailure, 'runState'>,
): Transition => ({
  state: { ...state, phase: 'failed', attempts: [] },
  effects: [
    ...state.attempts.map(({ attempt }) => ({ kind: 'cancel-attempt', attempt }) as const),
    { kind: 'fail', failure: { ...failure, runState: determineRunState(state) } },
  ],
});
