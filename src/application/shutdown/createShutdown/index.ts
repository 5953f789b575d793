import type { Clock } from '../../ports';

/** One piece of running work; ends once. */
export interface Work {
  end(): void;
}

/** How a drain ended. */
export interface DrainOutcome {
  readonly finished: number;
  /** Streams that were still running at the bound and went to another entry by cursor. */
  readonly handedOver: number;
}

/** The state of this process's shutdown, and the work that it waits for. */
export interface Shutdown {
  isDraining(): boolean;
  /**
   * Takes in new work, or gives null while draining.
   *
   * @param handOver - ends the work with a cursor; null for work that must go to its end here
   */
  startWork(handOver: (() => void) | null): Work | null;
  countRunning(): number;
  /** Calls `listener` once when the drain begins. */
  addListener(listener: () => void): void;
  /**
   * Takes no new work and waits for what runs.
   *
   * @param boundMs - after this the rest is handed over; work without a hand-over is waited for
   */
  drain(boundMs: number): Promise<DrainOutcome>;
}

/** Time that handed-over answers get to reach their callers before they are given up. */
const HAND_OVER_TIMEOUT_MS = 2000;

interface RunningWork {
  readonly handOver: (() => void) | null;
}

/** Creates the shutdown state of one process; a second drain joins the first. */
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
  // A caller that reads nothing would hold the drain for ever; it has its cursor all the same.
  const dropStuckWork = (): void => listResumableWork().forEach(endWork);
  const handOverWork = (): (() => void) => {
    const work = listResumableWork();
    handedOver = work.length;
    work.forEach(({ handOver }) => handOver?.());
    return dependencies.clock.startTimer(HAND_OVER_TIMEOUT_MS, dropStuckWork);
  };
  const waitForIdle = async (boundMs: number): Promise<DrainOutcome> => {
    const idle = new Promise<void>((resolve) => {
      resolveIdle = resolve;
    });
    if (running.size === 0) resolveIdle?.();
    let cancelTimer = dependencies.clock.startTimer(boundMs, () => {
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
    drain: (boundMs) => {
      if (draining === null) {
        draining = waitForIdle(boundMs);
        listeners.forEach((listener) => listener());
      }
      return draining;
    },
  };
};
