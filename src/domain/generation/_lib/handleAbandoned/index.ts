import type { GenerationInput, GenerationState, Transition } from '../../types';
import { failGeneration } from '../failGeneration';

const MESSAGES = {
  expired: 'no caller came back for the generation in time',
  'claim-lost': 'another VM has taken the generation over',
} as const;

/**
 * Handles the end of this VM's part in a generation.
 *
 * Another VM may be reading the same engine stream by now: cancelling it would cut that VM's
 * caller. So it is only detached; an engine cancels a stream that nobody reads by itself.
 *
 * @param state - Generation.
 * @param input - Why.
 * @returns The end here.
 */
export const handleAbandoned = (
  state: GenerationState,
  input: Extract<GenerationInput, { kind: 'abandoned' }>,
): Transition => {
  const failed = failGeneration(
    { ...state, attempts: [] },
    {
      code: input.reason === 'expired' ? 'generation_expired' : 'generation_moved',
      message: MESSAGES[input.reason],
      status: 409,
      retryAfterMs: 0,
    },
  );
  const detached = state.attempts.map(
    ({ attempt }) => ({ kind: 'detach-attempt', attempt }) as const,
  );
  return { state: failed.state, effects: [...detached, ...failed.effects] };
};
