/** Tells waiting steps that something happened. */
export interface EventNotifier {
  /** Something changed: waiting steps look again. */
  record(): void;
  /** Resolves with the first value of `read` that is not null; `read` runs at each event. */
  waitFor<T>(read: () => T | null): Promise<T>;
}
