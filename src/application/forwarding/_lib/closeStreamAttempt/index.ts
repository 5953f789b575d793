import type { StreamRun } from '../../types';

/** Closes an attempt: its connection ends at once, and with it the run at its server. */
export const closeStreamAttempt = (run: StreamRun, attempt: number): void => {
  const openAttempt = run.attempts.get(attempt);
  if (!openAttempt) return;
  run.attempts.delete(attempt);
  openAttempt.stopSilenceWatch();
  openAttempt.stopCopyWatch();
  openAttempt.abort.abort();
  openAttempt.work.release();
};
