import { computeRefusedShare } from '../../../domain/overload';
import type { Clock, EventLog, Randomness } from '../../ports';

/** Watches how late the event loop runs timers, and refuses new streams while it is too late. */
export interface LoopDelayMonitor {
  /** The loop is watched while requests run; the returned function ends one. */
  startRequest(): () => void;
  /** Decides whether a new stream is refused. */
  refusesStream(): boolean;
  /**
   * True if the loop runs late now: what it reads may have arrived long ago. An overdue timer shows it
   * before it has run.
   */
  isLate(): boolean;
  /** The delay that all recent timers had at least, in milliseconds. */
  readDelayMs(): number;
  /** Number of streams refused since the start. */
  countRefused(): number;
}

/** Dependencies of the monitor. */
export interface LoopDelayDependencies {
  readonly clock: Pick<Clock, 'readMonotonicMs' | 'startTimer'>;
  readonly log: EventLog;
  readonly randomness: Randomness;
  /** Smallest latency goal of the routes in force; `Infinity` without routes. */
  readonly readGoalMs: () => number;
  /** Asked at each request; while false, the loop is not watched and nothing is refused. */
  readonly isEnabled: () => boolean;
}

/** Interval between timers: four of them show an overload within a second. */
const SAMPLE_INTERVAL_MS = 250;

/**
 * Number of samples of which the smallest counts. A pause of the process, such as a garbage
 * collection, delays one of them; a process that gets too much work delays them all.
 */
const SAMPLE_COUNT = 4;

/** From this delay on, a caller may have left before its request was read. */
const LATE_MS = 100;

/** Part of the smallest latency goal by which timers may be late. */
const GOAL_FRACTION = 0.25;

/** The VM has recovered at this part of the limit. */
const RECOVERED_FRACTION = 0.5;

/** Creates a monitor that has seen nothing yet. */
export const createLoopDelayMonitor = (dependencies: LoopDelayDependencies): LoopDelayMonitor => {
  const { clock, isEnabled, log, randomness, readGoalMs } = dependencies;
  let samplesMs: readonly number[] = [];
  let running = 0;
  let refused = 0;
  let isOverloaded = false;
  /** When the running sample is due; infinite while none runs. */
  let sampleDueMs = Infinity;
  let cancelTimer = (): void => undefined;

  const readDelayMs = (): number => (samplesMs.length < SAMPLE_COUNT ? 0 : Math.min(...samplesMs));
  const readLimitMs = (): number => readGoalMs() * GOAL_FRACTION;

  const updateState = (): void => {
    const delayMs = readDelayMs();
    const limitMs = readLimitMs();
    const isLate = delayMs > (isOverloaded ? limitMs * RECOVERED_FRACTION : limitMs);
    if (isLate === isOverloaded) return;
    isOverloaded = isLate;
    log.warn(isLate ? 'gateway overloaded' : 'gateway recovered', {
      cause: 'loop-delay',
      delayMs: Math.round(delayMs),
      limitMs: Math.round(limitMs),
      running,
      refused,
    });
  };

  function startSample(): void {
    const dueMs = clock.readMonotonicMs() + SAMPLE_INTERVAL_MS;
    sampleDueMs = dueMs;
    cancelTimer = clock.startTimer(SAMPLE_INTERVAL_MS, () => {
      const delayMs = Math.max(0, clock.readMonotonicMs() - dueMs);
      samplesMs = [...samplesMs, delayMs].slice(-SAMPLE_COUNT);
      updateState();
      startSample();
    });
  }

  const endRequest = (): void => {
    running -= 1;
    if (running > 0) return;
    cancelTimer();
    sampleDueMs = Infinity;
    samplesMs = [];
    updateState();
  };

  return {
    startRequest: () => {
      if (!isEnabled()) return () => undefined;
      running += 1;
      if (running === 1) startSample();
      return endRequest;
    },
    refusesStream: () => {
      if (!isOverloaded) return false;
      const share = computeRefusedShare({ delayMs: readDelayMs(), limitMs: readLimitMs() });
      if (randomness.readFraction() >= share) return false;
      refused += 1;
      return true;
    },
    isLate: () => Math.max(samplesMs.at(-1) ?? 0, clock.readMonotonicMs() - sampleDueMs) > LATE_MS,
    readDelayMs,
    countRefused: () => refused,
  };
};
