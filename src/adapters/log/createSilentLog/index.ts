import type { EventLog } from '../../../application/ports';

/** Creates a log that keeps nothing. */
export const createSilentLog = (): EventLog => ({
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
});
