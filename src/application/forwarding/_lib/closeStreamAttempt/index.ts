import type { StreamRun } from '../../types';

/** Closes an attempt: its connection ends at once, and with it the run at its server. */
export const closeStreamAttempt = (run: StreamRun, attempt: number): void => {
  const open = run.attempts.get(attempt);
  if (!open) return;
  run.attempts.delete(attempt);
  open.stopSilenceWatch();
  open.stopCopyWatch();
  open.abort.abort();
  open.work.release();
};
