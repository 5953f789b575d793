/** Fields of an event; must not contain text of customers' documents or keys. */
export type EventFields = Readonly<Record<string, string | number | boolean>>;

/** Log of structured events other than routing decisions. */
export interface EventLog {
  info(message: string, fields: EventFields): void;
  warn(message: string, fields: EventFields): void;
  error(message: string, fields: EventFields): void;
}
