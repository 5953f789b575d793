/** Resolves all pending waits at the next change. */
export interface Notifier {
  notify(): void;
  wait(): Promise<void>;
}

/**
 * Creates a notifier. A notification without pending waits is dropped.
 *
 * @returns Notifier.
 */
export const createNotifier = (): Notifier => {
  let waiting: (() => void)[] = [];
  return {
    notify: () => {
      const resolvers = waiting;
      waiting = [];
      resolvers.forEach((wake) => wake());
    },
    wait: () =>
      new Promise((resolve) => {
        waiting.push(resolve);
      }),
  };
};
