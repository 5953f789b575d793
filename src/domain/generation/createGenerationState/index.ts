import type { Attempt, GenerationPolicy, GenerationState } from '../types';
import { AttemptPhase } from '../types';

/** Where a generation begins, if not at its start. */
export interface GenerationStart {
  /** Tokens held already. */
  readonly offset?: number;
  /** Number of the newest attempt known of. */
  readonly newestAttempt?: number;
  /** Server whose stream of that attempt is to be read, if any. */
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
  // What it has delivered elsewhere is not known here.
  hasDelivered: true,
});

/**
 * Creates the state of a generation that is new here.
 *
 * @param policy - How it may be continued.
 * @param start - Where it begins; by default at 0 with no attempt.
 * @returns State before its first input.
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
