import type { Clock } from '../../ports';

/** A unit of running work; ending it more than once has no effect. */
export interface Work {
  end(): void;
}

/** Outcome of a drain. */
export interface DrainOutcome {
  readonly finished: number;
  /** Streams that still ran when the wait ended and that callers resume elsewhere by cursor. */
  readonly handedOver: number;
}

/** Shutdown state of this process, with the running work that a drain waits for. */
export interface Shutdown {
  isDraining(): boolean;
  /**
   * Registers new work; returns null while draining.
   *
   * @param handOver - Ends the work with a cursor; null for work that must finish here.
   */
  startWork(handOver: (() => void) | null): Work | null;
  countRunning(): number;
  /** Adds a listener that is called once when the drain starts. */
  addListener(listener: () => void): void;
  /**
   * Refuses new work and waits for the running work.
   *
   * @param maxWaitMs - Time after which work is handed over; work without a hand-over must finish.
   */
  drain(maxWaitMs: number): Promise<DrainOutcome>;
}

/** Time for handed-over answers to reach their callers before the drain stops waiting for them. */
const HAND_OVER_TIMEOUT_MS = 2000;

interface RunningWork {
  readonly handOver: (() => void) | null;
}

/** Creates the shutdown state of a process; a second drain returns the promise of the first. */
export const createShutdown = (dependencies: { readonly clock: Clock }): Shutdown => {
  const running = new Set<RunningWork>();
  const listeners: (() => void)[] = [];
  let draining: Promise<DrainOutcome> | null = null;
  let resolveIdle: (() => void) | null = null;
  let finished = 0;
  let handedOver = 0;

  const endWork = (work: RunningWork): void => {
    if (!running.delete(work)) return;
    finished += draining === null ? 0 : 1;
    if (running.size === 0) resolveIdle?.();
  };
  const listResumableWork = (): RunningWork[] =>
    [...running].filter(({ handOver }) => handOver !== null);
  // A caller that does not read would block the drain forever; it can still resume by its cursor.
  const dropStuckWork = (): void => listResumableWork().forEach(endWork);
  const handOverWork = (): (() => void) => {
    const work = listResumableWork();
    handedOver = work.length;
    work.forEach(({ handOver }) => handOver?.());
    return dependencies.clock.startTimer(HAND_OVER_TIMEOUT_MS, dropStuckWork);
  };
  const waitForIdle = async (maxWaitMs: number): Promise<DrainOutcome> => {
    const idle = new Promise<void>((resolve) => {
      resolveIdle = resolve;
    });
    if (running.size === 0) resolveIdle?.();
    let cancelTimer = dependencies.clock.startTimer(maxWaitMs, () => {
      cancelTimer = handOverWork();
    });
    await idle;
    cancelTimer();
    return { finished: finished - handedOver, handedOver };
  };

  return {
    isDraining: () => draining !== null,
    startWork: (handOver) => {
      if (draining !== null) return null;
      const work: RunningWork = { handOver };
      running.add(work);
      return { end: () => endWork(work) };
    },
    countRunning: () => running.size,
    addListener: (listener) => {
      listeners.push(listener);
    },
    drain: (maxWaitMs) => {
      if (draining === null) {
        draining = waitForIdle(maxWaitMs);
        listeners.forEach((listener) => listener());
      }
      return draining;
    },
  };
};
