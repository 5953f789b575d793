import type { Clock, Randomness } from '../../../ports';

/** Interval between heartbeats, each of which is relayed to every VM of the region. */
export const HEARTBEAT_INTERVAL_MS = 2_000;
/** Exclusive upper bound of the random start value of the clock. */
const CLOCK_BASE_RANGE_MS = 2 ** 30;

/** The clock whose values this process sends to peers, which echo them. */
export interface EchoClock {
  readNowMs(): number;
  /** Current value for `News.clockMs`. */
  readWireMs(): number;
  /** Monotonic time at which a value was sent, or null if this process never sent the value. */
  convertEcho(echoMs: number): number | null;
  /** Counts the heartbeats of this process so far. */
  countHeartbeats(): number;
}

/**
 * Creates the echo clock. Its values are monotonic and start at random, so that an echo meant for
 * an earlier process of this VM is recognised.
 */
export function createEchoClock(deps: {
  readonly clock: Clock;
  readonly randomness: Randomness;
}): EchoClock {
  const startedAtMs = deps.clock.readMonotonicMs();
  const baseMs = 1 + Math.floor(deps.randomness.readFraction() * CLOCK_BASE_RANGE_MS);
  const readElapsedMs = (): number => deps.clock.readMonotonicMs() - startedAtMs;
  return {
    readNowMs: () => deps.clock.readMonotonicMs(),
    readWireMs: () => baseMs + Math.floor(readElapsedMs()),
    convertEcho: (echoMs) => {
      const elapsedMs = echoMs - baseMs;
      return elapsedMs >= 0 && elapsedMs <= readElapsedMs() ? startedAtMs + elapsedMs : null;
    },
    countHeartbeats: () => 1 + Math.floor(readElapsedMs() / HEARTBEAT_INTERVAL_MS),
  };
}
