import type { MessageContext } from 'roarr';
import type { EventFields, EventLog } from '../../../application/ports';

type WriteLine = (context: MessageContext, message: string) => void;

/** What is needed of a logger; roarr's has it, tests pass their own. */
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
