import { RunState } from '../../../types';
import type { GenerationFailure, GenerationState, Transition } from '../../types';

const readRunState = (state: GenerationState): RunState => {
  if (state.offset > 0) return RunState.Ran;
  return state.mayHaveStarted ? RunState.Unknown : RunState.NotRun;
};

/**
 * Ends a generation with a failure; its attempts are cancelled.
 *
 * @param state - Generation.
 * @param failure - What the caller is told; the run state follows from the generation itself.
 * @returns Failed state.
 */
export const failGeneration = (
  state: GenerationState,
  failure: Omit<GenerationFailure, 'runState'>,
): Transition => ({
  state: { ...state, phase: 'failed', attempts: [] },
  effects: [
    ...state.attempts.map(({ attempt }) => ({ kind: 'cancel-attempt', attempt }) as const),
    { kind: 'fail', failure: { ...failure, runState: readRunState(state) } },
  ],
});
