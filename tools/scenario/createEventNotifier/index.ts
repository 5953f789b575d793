import type { EventNotifier } from '../types';

/** Creates a board on which steps wait until an event makes what they read hold. */
export function createEventNotifier(): EventNotifier {
  const waiting = new Set<() => void>();
  return {
    record: () => [...waiting].forEach((look) => look()),
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
