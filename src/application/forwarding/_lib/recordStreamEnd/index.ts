import type { AttemptEnd, ConnectionEnd } from '../../../../domain/crashes';
import type { StreamAttempt, StreamRun } from '../../types';
import { buildStreamEnd } from '../buildStreamEnd';
import { logAttemptEnd } from '../logAttemptEnd';

/** Records how an attempt of a stream ended, as evidence and in the log. */
export const recordStreamEnd = (
  run: StreamRun,
  attempt: StreamAttempt,
  connection: ConnectionEnd,
  { isWhole }: { readonly isWhole: boolean } = { isWhole: false },
): void => {
  const { context, crashes, dependencies } = run;
  const seen = buildStreamEnd(run, attempt, connection);
  const end: AttemptEnd = isWhole ? { ...seen, progress: 'whole' } : seen;
  const evidence = crashes.recordEnd(attempt.server, end, attempt);
  logAttemptEnd(dependencies, context, attempt.server, end, evidence);
};
