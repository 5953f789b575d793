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
};
