import type { ServerStatus } from '../types';

/** Exclusions and preferences for the server of one attempt. */
export interface LeastLoadedServerOptions {
  /** Ids of servers that already failed this request. */
  readonly excludedIds: ReadonlySet<string>;
  /** Availability zone to avoid as long as another one has a server; null for none. */
  readonly avoidedZone: string | null;
  /** Availability zone that is preferred among nearly equal servers; null for none. */
  readonly preferredZone: string | null;
  /**
   * Random number, from 0 inclusive to 1 exclusive. VMs that hold the same outdated load reports
   * must not all choose the same server.
   */
  readonly draw: number;
}

/** Prompt tokens that weigh as much as one running request: prefill slows running requests down. */
const PREFILL_TOKENS_PER_REQUEST = 4000;

/** Weight of a KV cache copy in requests: a copy occupies memory but no engine steps. */
const COPY_WEIGHT = 0.25;

/** Bonus of the preferred availability zone, in requests. */
const ZONE_BONUS = 0.4;

/** Loads that differ by at most this many requests count as equal. */
const LOAD_TOLERANCE = 0.5;

const computeLoad = (status: ServerStatus, preferredZone: string | null): number => {
  const ownLoad = status.running + status.pendingPrefillTokens / PREFILL_TOKENS_PER_REQUEST;
  const requests = Math.max(ownLoad, status.reported) + status.copies * COPY_WEIGHT;
  const zone = status.entry.availabilityZone === preferredZone ? -ZONE_BONUS : 0;
  const warmup = status.entry.warmupLeftMs > 0 ? 1 : 0;
  return requests + zone + warmup;
};

const preferMatching = (
  servers: readonly ServerStatus[],
  isPreferred: (status: ServerStatus) => boolean,
): readonly ServerStatus[] => {
  const preferred = servers.filter(isPreferred);
  return preferred.length > 0 ? preferred : servers;
};

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
  { avoidedZone, draw, excludedIds, preferredZone }: LeastLoadedServerOptions,
): ServerStatus | null => {
  const allowed = servers.filter(({ entry }) => !excludedIds.has(entry.id));
  const healthy = preferMatching(allowed, ({ isSuspected }) => !isSuspected);
  const candidates = preferMatching(healthy, ({ entry }) => entry.availabilityZone !== avoidedZone);
  const loads = candidates.map((status) => computeLoad(status, preferredZone));
  const lowestLoad = loads.reduce((low, load) => Math.min(low, load), Infinity);
  const leastLoaded = candidates.filter(
    (_, index) => (loads[index] ?? Infinity) <= lowestLoad + LOAD_TOLERANCE,
  );
  return leastLoaded[Math.floor(draw * leastLoaded.length)] ?? null;
};
