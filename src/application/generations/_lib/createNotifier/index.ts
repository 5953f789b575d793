/** Wakes all who wait for the next change. */
export interface Notifier {
  notify(): void;
  wait(): Promise<void>;
}

/**
 * Creates a notifier; a notification that nobody waits for is not kept.
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
