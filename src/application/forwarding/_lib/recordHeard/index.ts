import type { StreamAttempt } from '../../types';

/**
 * Records that a part of a response is read, and dates it.
 *
 * What a relay forwards may have waited there for as long as the attempt runs.
 */
export const recordHeard = (attempt: StreamAttempt): void => {
  const sentSinceMs = attempt.dating.readSentSinceMs();
  const heardSinceMs = attempt.relay === null ? sentSinceMs : attempt.sentAtMs;
  Object.assign(attempt, { heardSinceMs });
};
