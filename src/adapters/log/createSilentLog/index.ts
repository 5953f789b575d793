import type { EventLog } from '../../../application/ports';

/** Creates an event log that discards all events. */
export const createSilentLog = (): EventLog => ({
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
});
