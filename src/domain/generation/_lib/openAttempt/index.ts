import { AttemptPhase, type Attempt, type GenerationState, type Transition } from '../../types';

/**
 * Opens the next attempt, numbered higher than all previous ones.
 *
 * @param state - State of the generation.
 * @param purpose - What the slot is requested for.
 * @returns State with the attempt, and the effect that opens the attempt.
 */
export const openAttempt = (state: GenerationState, purpose: Attempt['purpose']): Transition => {
  const attempt = state.newestAttempt + 1;
  const reader = { attempt, connection: 0 };
  const opened: Attempt = {
    ...reader,
    purpose,
    phase: AttemptPhase.Opening,
    backendServer: '',
    silence: 'none',
    mayHaveStartedBefore: state.mayHaveStarted,
    readsWithoutProgress: 0,
    hasDelivered: false,
  };
  const silent = state.attempts.map(({ backendServer }) => backendServer).filter(Boolean);
  const excludedServers = [...new Set([...state.excludedServers, ...silent])];
  return {
    state: { ...state, newestAttempt: attempt, attempts: [...state.attempts, opened] },
    effects: [{ kind: 'open-attempt', reader, purpose, excludedServers }],
  };
};
