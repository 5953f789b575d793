import type { StreamRun } from '../../types';

/** Closes an attempt and its connection, which also ends the run at the server. */
export const closeStreamAttempt = (run: StreamRun, attempt: number): void => {
  const openAttempt = run.attempts.get(attempt);
  if (!openAttempt) return;
  run.attempts.delete(attempt);
  openAttempt.stopSilenceWatch();
  openAttempt.stopCopyWatch();
  openAttempt.abort.abort();
  openAttempt.work.release();
  const { scheduled, sentAtMs, server } = openAttempt;
  if (!scheduled) return;
  const { clock, scheduler } = run.dependencies;
  scheduler.recordEnded(run.context.service, {
    server: server.id,
    kvTokens: scheduled.kvTokens,
    backup: scheduled.backup,
    ranMs: clock.readMonotonicMs() - sentAtMs,
    samples: scheduled.samples,
  });
};
