import type { StreamAttempt, StreamRun } from '../../types';
import { buildStreamEnd } from '../buildStreamEnd';

/** Records the silence of a server whose attempt goes on, as the same evidence as its end. */
export const recordStreamSilence = (run: StreamRun, attempt: StreamAttempt): void => {
  run.crashes.recordEnd(attempt.server, buildStreamEnd(run, attempt, 'silent'));
  run.context.servers.recordOutcome(attempt.server, { isFailure: true, duration: null });
  run.dependencies.directory.recordSuspicion(attempt.server.id, 'silent');
};
