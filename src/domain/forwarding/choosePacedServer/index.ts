import { computeRemainingFraction } from '../../load';
import type { RelativePace } from '../../paces';
import { computeRequestLoad, ZONE_BONUS } from '../_lib/computeRequestLoad';
import { filterCandidates } from '../_lib/filterCandidates';
import type { FleetReader, LeastLoadedServerOptions, ServerEntry, ServerStatus } from '../types';

/** Options of the choice among servers that differ in speed. */
export interface PacedServerOptions extends LeastLoadedServerOptions {
  readonly readPace: (server: ServerEntry) => RelativePace;
  /** Load of all VMs; null or absent if it is not known. */
  readonly fleet?: FleetReader | null;
}

/** Expected ends that differ by at most this fraction count as equal. */
const END_TOLERANCE = 0.1;

/**
 * Time for which the load of a server that joined or returned is not yet known: the first requests
 * of other VMs show in no answer to this one.
 */
const SLOW_START_MS = 1000;

/** Age from which the load that a server reported no longer counts; until then it counts less. */
const REPORT_TTL_MS = 600;

/** Age from which a view of all VMs no longer counts; until then it counts less. */
const VIEW_TTL_MS = 2000;

/**
 * Weight of the pace of a server: 1 minimizes the time of the one request, which takes the slots of
 * fast servers from the next ones; 0 spreads the requests as among equal servers.
 */
const PACE_EXPONENT = 0.7;

/**
 * Servers are drawn by 1 / end to this power where VMs share a view: all of them would otherwise
 * choose the one server that is least loaded in it, until the next view.
 */
const DRAW_EXPONENT = 2;

/** The work factor counts in full: it is over before slots run out. */
const weighPace = ({ ratio, workFactor }: RelativePace): number =>
  ratio ** PACE_EXPONENT * workFactor;

/** Ages a report: other requests than those of this VM have ended since, as far as it knows. */
const ageReport = (status: ServerStatus): ServerStatus => {
  const freshness = computeRemainingFraction(status.reportedAgeMs, REPORT_TTL_MS);
  const others = Math.max(0, status.reported - status.running) * freshness;
  return { ...status, reported: status.running + others };
};

/**
 * Computes the load without a preference of a zone. For the requests of other VMs, the server's
 * last answer counts as far as it is fresh, and the view for the rest.
 */
const computeKnownLoad = (status: ServerStatus, fleet: FleetReader): number => {
  const { entry, reported, reportedAgeMs, running } = status;
  const reportWeight = computeRemainingFraction(reportedAgeMs, REPORT_TTL_MS);
  const viewed = fleet.countOthers(entry) * computeRemainingFraction(fleet.ageMs, VIEW_TTL_MS);
  const others = Math.max(0, reported - running) * reportWeight + viewed * (1 - reportWeight);
  return computeRequestLoad({ ...status, reported: running + others }, null);
};

/** Computes what it costs to send a request to another zone, in usual durations of a call. */
const computeCrossingCost = (
  { entry }: ServerStatus,
  preferredZone: string | null,
  fleet: FleetReader,
): number => {
  if (preferredZone === null || entry.availabilityZone === preferredZone) return 0;
  return fleet.readCrossingCost(entry.availabilityZone) ?? ZONE_BONUS;
};

/** A server, and when a request would end on it, in usual durations of a call. */
interface ExpectedEnd {
  readonly status: ServerStatus;
  readonly end: number;
}

const drawEarliest = (ends: readonly ExpectedEnd[], draw: number): ServerStatus | null => {
  const earliestEnd = ends.reduce((low, { end }) => Math.min(low, end), Infinity);
  const earliest = ends.filter(({ end }) => end <= earliestEnd * (1 + END_TOLERANCE));
  return earliest[Math.floor(draw * earliest.length)]?.status ?? null;
};

const drawWeighted = (ends: readonly ExpectedEnd[], draw: number): ServerStatus | null => {
  const weights = ends.map(({ end }) => end ** -DRAW_EXPONENT);
  let left = draw * weights.reduce((sum, weight) => sum + weight, 0);
  const drawn = ends.find((_, index) => {
    left -= weights[index] ?? 0;
    return left < 0;
  });
  return (drawn ?? ends.at(-1))?.status ?? null;
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
  { draw, fleet = null, preferredZone, readPace, ...options }: PacedServerOptions,
): ServerStatus | null => {
  const candidates = filterCandidates(servers, options);
  const loads = candidates.map((status) =>
    fleet ? computeKnownLoad(status, fleet) : computeRequestLoad(ageReport(status), preferredZone),
  );
  const usualLoad = computeMean(
    loads.filter((_, index) => (candidates[index]?.availableMs ?? 0) >= SLOW_START_MS),
  );
  const endsByServer = candidates.map((status, index) => {
    const unknownFraction = computeRemainingFraction(status.availableMs, SLOW_START_MS);
    const load = Math.max(loads[index] ?? 0, usualLoad * unknownFraction);
    const crossing = fleet ? computeCrossingCost(status, preferredZone, fleet) : 0;
    return { status, end: (load + 1) * weighPace(readPace(status.entry)) + crossing };
  });
  return fleet ? drawWeighted(endsByServer, draw) : drawEarliest(endsByServer, draw);
};
