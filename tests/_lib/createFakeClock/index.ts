import type { Clock } from '../../../src/application/ports';

/** A clock that only moves when told to. */
export interface FakeClock extends Clock {
  /** Moves time on and runs the timers that are due, in their order. */
  advance(byMs: number): void;
}

interface Timer {
  readonly dueMs: number;
  readonly callback: () => void;
}

/** Creates a clock that stands at 1000 ms. */
export const createFakeClock = (): FakeClock => {
  let nowMs = 1000;
  const timers = new Set<Timer>();
  return {
    readWallMs: () => nowMs,
    readMonotonicMs: () => nowMs,
    startTimer: (delayMs, callback) => {
      const timer = { dueMs: nowMs + delayMs, callback };
      timers.add(timer);
      return () => timers.delete(timer);
    },
    advance: (byMs) => {
      nowMs += byMs;
      [...timers]
        .filter(({ dueMs }) => dueMs <= nowMs)
        .sort((left, right) => left.dueMs - right.dueMs)
        .forEach((timer) => {
          if (timers.delete(timer)) timer.callback();
        });
    },
  };
};
