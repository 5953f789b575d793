import type { Logger } from 'roarr';
import type { EventFields, EventLog } from '../../../application/ports';

/** What is needed of a logger; tests pass their own. */
export type LineLogger = Pick<Logger, 'error' | 'info' | 'warn'>;

/** Creates the log of events that are not routing decisions. */
export const createEventLog = (logger: LineLogger): EventLog => ({
  info: (message, fields: EventFields) => logger.info({ ...fields }, message),
  warn: (message, fields: EventFields) => logger.warn({ ...fields }, message),
  error: (message, fields: EventFields) => logger.error({ ...fields }, message),
});
