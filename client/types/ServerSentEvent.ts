/** One event of a `text/event-stream` body. */
export interface ServerSentEvent {
  /** Value of the `id:` line, or empty. */
  readonly id: string;
  readonly data: string;
}
