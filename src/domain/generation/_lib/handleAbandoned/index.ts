import type { GenerationInput, GenerationState, Transition } from '../../types';
import { failGeneration } from '../failGeneration';

const MESSAGES = {
  expired: 'no caller reconnected to the generation in time',
  'claim-lost': 'another VM has taken the generation over',
} as const;

/**
 * Ends a generation on this VM without cancelling it at the engine.
 *
 * Another VM may already read the same engine stream, and cancelling the stream would cut off that
 * VM's caller. The attempts are therefore only detached; engines cancel streams without readers.
 *
 * @param state - State of the generation.
 * @param input - The reason.
 * @returns Failed state, and the effects that detach the attempts.
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
