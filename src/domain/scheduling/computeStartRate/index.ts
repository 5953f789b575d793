import { computeRunMs } from '../computeRunMs';
import { isStreamStartable } from '../isStreamStartable';
import type { ScheduledServer } from '../types';

/** A stream as most of the service are. */
export interface TypicalStream {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly leftMs: number;
  readonly goalMs: number;
}

const MS_PER_S = 1000;

/** Counts the typical streams that a server runs at most at the same time. */
const countRuns = (server: ScheduledServer, typical: TypicalStream): number => {
  const demand = { ...typical, excludedServers: [], versions: [] };
  const options = { goalMs: typical.goalMs, isLastChance: false };
  const kvTokens = typical.promptTokens + typical.outputTokens;
  const isStartable = (runs: number): boolean => {
    const loaded = { ...server, runs, kvUsedTokens: runs * kvTokens, pendingPrefillMs: 0 };
    return isStreamStartable(loaded, demand, options);
  };
  // The more runs, the less is startable; servers state any number of slots.
  let low = 0;
  let high = server.slots;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (isStartable(middle)) low = middle + 1;
    else high = middle;
  }
  return low;
};

/**
 * Computes the rate at which the servers of a service can begin typical streams when all of them
 * are kept as full as their limits allow.
 *
 * @returns streams per second
 */
export const computeStartRate = (
  servers: readonly ScheduledServer[],
  typical: TypicalStream,
): number =>
  servers.reduce((sum, server) => {
    const runs = countRuns(server, typical);
    return sum + (runs * MS_PER_S) / computeRunMs(server.pace, { ...typical, runs }).runMs;
  }, 0);
