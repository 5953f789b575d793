import type { Clock } from '../../../src/application/ports';

/** A clock that a test advances explicitly. */
export interface FakeClock extends Clock {
  /** Advances both times and calls the due timers in order. */
  advance(durationMs: number): void;
  /** As `advance`, but lets pending promises settle after each timer. */
  advanceAsync(durationMs: number): Promise<void>;
  /** Sets the wall time; monotonic time stays. */
  jumpWall(wallMs: number): void;
  countTimers(): number;
}

interface Timer {
  readonly dueMs: number;
  readonly sequence: number;
  readonly callback: () => void;
}

/** Runs callbacks of settled promises and of the event loop's next turns. */
async function runPending(): Promise<void> {
  for (let turn = 0; turn < 3; turn += 1) {
    await new Promise<void>((resolve) => {
      setImmediate(resolve);
    });
  }
}

/**
 * Creates a clock that stands still until it is advanced.
 *
 * @param wallMs wall time at the start, milliseconds since the epoch
 *
 * @example
 * const clock = createFakeClock();
 * clock.startTimer(50, onDue);
 * clock.advance(50); // calls onDue
 */
export function createFakeClock(wallMs = 1_700_000_000_000): FakeClock {
  let monotonicMs = 0;
  let wallOffsetMs = wallMs;
  let sequence = 0;
  const timers = new Set<Timer>();

  const takeDue = (untilMs: number): Timer | undefined => {
    let first: Timer | undefined;
    timers.forEach((timer) => {
      // Timers of the same time are called in the order of their start, as the set lists them.
      if (timer.dueMs <= untilMs && (!first || timer.dueMs < first.dueMs)) first = timer;
    });
    if (first === undefined) return undefined;
    timers.delete(first);
    monotonicMs = Math.max(monotonicMs, first.dueMs);
    return first;
  };

  return {
    readWallMs: () => wallOffsetMs + monotonicMs,
    readMonotonicMs: () => monotonicMs,
    readIdleMs: () => monotonicMs,
    startTimer: (delayMs, callback) => {
      sequence += 1;
      const timer = { dueMs: monotonicMs + Math.max(0, delayMs), sequence, callback };
      timers.add(timer);
      return () => {
        timers.delete(timer);
      };
    },
    advance: (durationMs) => {
      const untilMs = monotonicMs + durationMs;
      for (let due = takeDue(untilMs); due !== undefined; due = takeDue(untilMs)) due.callback();
      monotonicMs = untilMs;
    },
    advanceAsync: async (durationMs) => {
      const untilMs = monotonicMs + durationMs;
      await runPending();
      for (let due = takeDue(untilMs); due !== undefined; due = takeDue(untilMs)) {
        due.callback();
        await runPending();
      }
      monotonicMs = untilMs;
    },
    jumpWall: (nextWallMs) => {
      wallOffsetMs = nextWallMs - monotonicMs;
    },
    countTimers: () => timers.size,
  };
}
