import type { Clock, Randomness } from '../../../ports';

/** Heartbeats are this far apart: each is passed on to every VM of the region. */
export const HEARTBEAT_INTERVAL_MS = 2_000;
/** Clock values start at random below this. */
const CLOCK_BASE_RANGE_MS = 2 ** 30;

/** The clock that this process shows to its peers. */
export interface EchoClock {
  readNowMs(): number;
  /** The value for `News.clockMs`. */
  readWireMs(): number;
  /** Monotonic time at which a value was shown, or null if this process never showed it. */
  convertEcho(echoMs: number): number | null;
  /** Heartbeats of this process so far. */
  countHeartbeats(): number;
}

/**
 * Creates the clock shown to peers: monotonic, from a random base, so that an echo meant for an
 * earlier process of this VM is told apart.
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
