import { computeRequestLoad } from '../_lib/computeRequestLoad';
import { filterCandidates } from '../_lib/filterCandidates';
import type { LeastLoadedServerOptions, ServerStatus } from '../types';

/** Loads that differ by at most this many requests count as equal. */
const LOAD_TOLERANCE = 0.5;

/**
 * Chooses one of the least loaded servers for an attempt.
 *
 * Suspected servers and those in the avoided availability zone are chosen only if there are no
 * others.
 *
 * @returns the status of the chosen server; null if no server is left that has not failed the
 *   request
 */
export const chooseLeastLoadedServer = (
  servers: readonly ServerStatus[],
  options: LeastLoadedServerOptions,
): ServerStatus | null => {
  const candidates = filterCandidates(servers, options);
  const loads = candidates.map((status) => computeRequestLoad(status, options.preferredZone));
  const lowestLoad = loads.reduce((low, load) => Math.min(low, load), Infinity);
  const leastLoaded = candidates.filter(
    (_, index) => (loads[index] ?? Infinity) <= lowestLoad + LOAD_TOLERANCE,
  );
  return leastLoaded[Math.floor(options.draw * leastLoaded.length)] ?? null;
};
