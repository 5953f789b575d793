import type { EventNotifier } from '../types';

/** Creates a notifier with which steps wait until a change meets their condition. */
export function createEventNotifier(): EventNotifier {
  const waiting = new Set<() => void>();
  return {
    record: () => [...waiting].forEach((checkAgain) => checkAgain()),
    waitFor: (read) =>
      new Promise((resolve) => {
        const look = (): void => {
          const value = read();
          if (value === null) return;
          waiting.delete(look);
          resolve(value);
        };
        waiting.add(look);
        look();
      }),
  };
}
