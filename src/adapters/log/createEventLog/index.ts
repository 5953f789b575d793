import type { MessageContext } from 'roarr';
import type { EventFields, EventLog } from '../../../application/ports';

type WriteLine = (context: MessageContext, message: string) => void;

/** Methods that a log needs of its logger; Roarr's logger has them. */
export interface LineLogger {
  readonly info: WriteLine;
  readonly warn: WriteLine;
  readonly error: WriteLine;
}

/** Creates the log of events that are not routing decisions. */
export const createEventLog = (logger: LineLogger): EventLog => ({
  info: (message, fields: EventFields) => logger.info({ ...fields }, message),
  warn: (message, fields: EventFields) => logger.warn({ ...fields }, message),
  error: (message, fields: EventFields) => logger.error({ ...fields }, message),
});
