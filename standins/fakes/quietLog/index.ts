import type { EventLog } from '../../../src/application/ports';

/** A log that keeps nothing. */
export const QUIET_LOG: EventLog = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
