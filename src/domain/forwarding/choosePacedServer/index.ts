import type { RelativePace } from '../../paces';
import { computeRequestLoad } from '../_lib/computeRequestLoad';
import { filterCandidates } from '../_lib/filterCandidates';
import type { LeastLoadedServerOptions, ServerEntry, ServerStatus } from '../types';

/** Options of the choice among servers that differ in speed. */
export interface PacedServerOptions extends LeastLoadedServerOptions {
  readonly readPace: (server: ServerEntry) => RelativePace;
}

/** Expected ends that differ by at most this fraction count as equal. */
const END_TOLERANCE = 0.1;

/**
 * Time for which the load of a server that joined or returned is not yet known: the first requests
 * of other VMs show in no answer to this one.
 */
const SLOW_START_MS = 1000;

/** Time in which a reported load loses its meaning, unless a newer answer confirms it. */
const REPORT_TTL_MS = 600;

/**
 * Weight of the pace of a server: 1 minimizes the time of the one request, which takes the slots of
 * fast servers from the next ones; 0 spreads the requests as among equal servers.
 */
const PACE_EXPONENT = 0.7;

/** The work factor counts in full: it is over before slots run out. */
const weighPace = ({ ratio, workFactor }: RelativePace): number =>
  ratio ** PACE_EXPONENT * workFactor;

/** Ages a report: other requests than those of this VM have ended since, as far as it knows. */
const ageReport = (status: ServerStatus): ServerStatus => {
  const freshness = Math.max(0, 1 - status.reportedAgeMs / REPORT_TTL_MS);
  const others = Math.max(0, status.reported - status.running) * freshness;
  return { ...status, reported: status.running + others };
};

const computeMean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);

/**
 * Chooses the server on which a request is expected to end first.
 *
 * Every request ahead takes as long as its server needs for one. A server that joined or returned
 * looks empty to all VMs at once: for its first second it counts as loaded like the others, so that
 * it gets its share, and not the requests of all VMs.
 *
 * @returns the status of the chosen server; null if no server is left that has not failed the
 *   request
 */
export const choosePacedServer = (
  servers: readonly ServerStatus[],
  { draw, preferredZone, readPace, ...options }: PacedServerOptions,
): ServerStatus | null => {
  const candidates = filterCandidates(servers, options);
  const loads = candidates.map((status) => computeRequestLoad(ageReport(status), preferredZone));
  const usualLoad = computeMean(
    loads.filter((_, index) => (candidates[index]?.availableMs ?? 0) >= SLOW_START_MS),
  );
  const endsByServer = candidates.map((status, index) => {
    const unknownFraction = Math.max(0, 1 - status.availableMs / SLOW_START_MS);
    const load = Math.max(loads[index] ?? 0, usualLoad * unknownFraction);
    return { status, end: (load + 1) * weighPace(readPace(status.entry)) };
  });
  const earliestEnd = endsByServer.reduce((low, { end }) => Math.min(low, end), Infinity);
  const earliest = endsByServer.filter(({ end }) => end <= earliestEnd * (1 + END_TOLERANCE));
  return earliest[Math.floor(draw * earliest.length)]?.status ?? null;
};
