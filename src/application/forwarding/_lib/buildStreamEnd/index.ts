import type { AttemptEnd, AttemptProgress, ConnectionEnd } from '../../../../domain/crashes';
import type { StreamAttempt, StreamRun } from '../../types';

const readProgress = ({ hasDeliveredEvent, headAtMs }: StreamAttempt): AttemptProgress => {
  if (hasDeliveredEvent) return 'events';
  return headAtMs === null ? 'none' : 'head';
};

/** Builds the end of a stream's attempt that is seen now. */
export const buildStreamEnd = (
  { dependencies }: StreamRun,
  attempt: StreamAttempt,
  connection: ConnectionEnd,
): AttemptEnd => ({
  connection,
  relay: attempt.relay,
  progress: readProgress(attempt),
  sentAtMs: attempt.sentAtMs,
  beganAtMs: attempt.headAtMs ?? attempt.sentAtMs,
  heardSinceMs: attempt.heardSinceMs,
  endedAtMs: dependencies.clock.readMonotonicMs(),
});
