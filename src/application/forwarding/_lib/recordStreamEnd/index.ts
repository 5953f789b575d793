import type { AttemptEnd, AttemptProgress, ConnectionEnd } from '../../../../domain/crashes';
import type { StreamAttempt, StreamRun } from '../../types';
import { logAttemptEnd } from '../logAttemptEnd';

const readProgress = ({ hasDeliveredEvent, headAtMs }: StreamAttempt): AttemptProgress => {
  if (hasDeliveredEvent) return 'events';
  return headAtMs === null ? 'none' : 'head';
};

const buildEnd = (
  { dependencies }: StreamRun,
  attempt: StreamAttempt,
  connection: ConnectionEnd,
): AttemptEnd => ({
  connection,
  relay: attempt.relay,
  progress: readProgress(attempt),
  beganAtMs: attempt.headAtMs ?? attempt.sentAtMs,
  heardSinceMs: attempt.heardSinceMs,
  endedAtMs: dependencies.clock.readMonotonicMs(),
});

/** Records how an attempt of a stream ended, as evidence and in the log. */
export const recordStreamEnd = (
  run: StreamRun,
  attempt: StreamAttempt,
  connection: ConnectionEnd,
  { isWhole }: { readonly isWhole: boolean } = { isWhole: false },
): void => {
  const { context, crashes, dependencies } = run;
  const seen = buildEnd(run, attempt, connection);
  const end: AttemptEnd = isWhole ? { ...seen, progress: 'whole' } : seen;
  const evidence = crashes.recordEnd(attempt.server, end);
  logAttemptEnd(dependencies, context, attempt.server, end, evidence);
};

/** Records the silence of a server whose attempt goes on, as the same evidence as its end. */
export const recordStreamSilence = (run: StreamRun, attempt: StreamAttempt): void => {
  run.crashes.recordEnd(attempt.server, buildEnd(run, attempt, 'silent'));
  run.context.servers.recordOutcome(attempt.server, { isFailure: true, duration: null });
  run.dependencies.directory.recordSuspicion(attempt.server.id, 'silent');
};
