import type { Clock } from '../../ports';

/** Names that are not asked for a while, as they gave no answer. */
export interface SkipList {
  add(name: string): void;
  has(name: string): boolean;
}

/** Time for which a name stays on the list. */
const SKIP_MS = 2000;

/** Creates an empty list. */
export const createSkipList = (clock: Pick<Clock, 'readMonotonicMs'>): SkipList => {
  const untilMsByName = new Map<string, number>();
  const removeExpired = (): void => {
    const nowMs = clock.readMonotonicMs();
    untilMsByName.forEach((untilMs, name) => {
      if (untilMs <= nowMs) untilMsByName.delete(name);
    });
  };
  return {
    add: (name) => {
      untilMsByName.set(name, clock.readMonotonicMs() + SKIP_MS);
    },
    has: (name) => {
      removeExpired();
      return untilMsByName.has(name);
    },
  };
};
