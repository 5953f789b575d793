import type { Clock } from '../../../../src/application/ports';

/** Load at one moment. */
export interface LoadSnapshot {
  readonly running: number;
  readonly waiting: number;
  readonly cacheUse: number;
  readonly tokensPerSecond: number;
}

/** Load figures that are published with a delay. */
export interface LoadHistory {
  recordSnapshot(snapshot: LoadSnapshot): void;
  /** Reads the figures as of one lag ago. */
  readSnapshot(): LoadSnapshot;
}

const IDLE: LoadSnapshot = { running: 0, waiting: 0, cacheUse: 0, tokensPerSecond: 0 };

/** Creates a history that holds no more than the lag needs. */
export function createLoadHistory(lagMs: number, clock: Clock): LoadHistory {
  let entries = [{ atMs: Number.NEGATIVE_INFINITY, snapshot: IDLE }];
  const removeOld = () => {
    const newestMs = clock.readMonotonicMs() - lagMs;
    const current = entries.findLastIndex((entry) => entry.atMs <= newestMs);
    if (current > 0) entries = entries.slice(current);
  };
  return {
    recordSnapshot: (snapshot) => {
      removeOld();
      entries.push({ atMs: clock.readMonotonicMs(), snapshot });
    },
    readSnapshot: () => {
      removeOld();
      return entries[0]?.snapshot ?? IDLE;
    },
  };
}
