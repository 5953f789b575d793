/** Wakes waiting steps when the state of the run changes. */
export interface EventNotifier {
  /** Records a change: all waiting steps check their condition again. */
  record(): void;
  /** Resolves with the first value of `read` that is not null; `read` runs at each change. */
  waitFor<T>(read: () => T | null): Promise<T>;
}
