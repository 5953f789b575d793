import type { Attempt, GenerationPolicy, GenerationState } from '../types';
import { AttemptPhase } from '../types';

/** Initial position of a generation that does not start from the beginning. */
export interface GenerationStart {
  /** Number of tokens already held. */
  readonly offset?: number;
  /** Number of the newest known attempt. */
  readonly newestAttempt?: number;
  /** Server from which the stream of that attempt is to be read, if any. */
  readonly backendServer?: string;
}

const buildTakenOverAttempt = (attempt: number, backendServer: string): Attempt => ({
  attempt,
  connection: 0,
  purpose: 'resume',
  phase: AttemptPhase.Resuming,
  backendServer,
  silence: 'none',
  mayHaveStartedBefore: true,
  readsWithoutProgress: 0,
  // Another VM may have received tokens from the attempt.
  hasDelivered: true,
});

/**
 * Creates the initial state of a generation on this VM.
 *
 * @param policy - Rules for continuing the generation.
 * @param start - Initial position; by default offset 0 without an attempt.
 * @returns State before the first input.
 */
export const createGenerationState = (
  policy: GenerationPolicy,
  start: GenerationStart = {},
): GenerationState => {
  const newestAttempt = start.newestAttempt ?? 0;
  return {
    policy,
    phase: 'running',
    offset: start.offset ?? 0,
    attempts: start.backendServer
      ? [buildTakenOverAttempt(newestAttempt, start.backendServer)]
      : [],
    newestAttempt,
    excludedServers: [],
    attemptsWithoutProgress: 0,
    crashes: 0,
    mayHaveStarted: newestAttempt > 0,
    callers: 0,
  };
};
