/** Fields of an event; never dossier text or keys. */
export type EventFields = Readonly<Record<string, string | number | boolean>>;

/** Takes structured log events other than routing decisions. */
export interface EventLog {
  info(message: string, fields: EventFields): void;
  warn(message: string, fields: EventFields): void;
  error(message: string, fields: EventFields): void;
}
