import type { ServerStatus } from '../types';

/** What speaks for or against a server for one attempt. */
export interface LeastLoadedServerOptions {
  /** Ids of servers that failed this request. */
  readonly excludedIds: ReadonlySet<string>;
  /** Zone in which it must not be, if others have a server; null for none. */
  readonly avoidedZone: string | null;
  /** Zone that is slightly better, all else being equal; null for none. */
  readonly preferredZone: string | null;
  /** From 0 inclusive to 1 exclusive: VMs with the same late reports must not choose alike. */
  readonly draw: number;
}

/** Tokens that weigh as much as one running request: it is slowed for as long as they are read. */
const PREFILL_TOKENS_PER_REQUEST = 4000;

/** A copy fills memory, but takes no step of the engine. */
const COPY_WEIGHT = 0.25;

/** Bonus of the preferred zone, as a part of one request on all slots. */
const ZONE_WEIGHT = 0.4;

/** Estimates within this part of a slot count as equal. */
const NEAR_LOAD = 0.5;

const computeLoad = (status: ServerStatus, preferredZone: string | null): number => {
  const own = status.running + status.pendingPrefillTokens / PREFILL_TOKENS_PER_REQUEST;
  const requests = Math.max(own, status.reported) + status.copies * COPY_WEIGHT;
  const zone = status.entry.availabilityZone === preferredZone ? -ZONE_WEIGHT : 0;
  const warmup = status.entry.warmupLeftMs > 0 ? 1 : 0;
  return requests + zone + warmup;
};

const preferAll = (
  servers: readonly ServerStatus[],
  isWanted: (status: ServerStatus) => boolean,
): readonly ServerStatus[] => {
  const wanted = servers.filter(isWanted);
  return wanted.length > 0 ? wanted : servers;
};

/**
 * Chooses the server of an attempt: one of the least loaded ones that are not suspected and not in
 * the avoided zone, as far as there are such.
 *
 * @returns null if every server has failed the request already, or there is none
 */
export const chooseLeastLoadedServer = (
  servers: readonly ServerStatus[],
  { avoidedZone, draw, excludedIds, preferredZone }: LeastLoadedServerOptions,
): ServerStatus | null => {
  const allowed = servers.filter(({ entry }) => !excludedIds.has(entry.id));
  const sound = preferAll(allowed, ({ isSuspected }) => !isSuspected);
  const apart = preferAll(sound, ({ entry }) => entry.availabilityZone !== avoidedZone);
  const loads = apart.map((status) => computeLoad(status, preferredZone));
  const least = loads.reduce((low, load) => Math.min(low, load), Infinity);
  const near = apart.filter((_, index) => (loads[index] ?? Infinity) <= least + NEAR_LOAD);
  return near[Math.floor(draw * near.length)] ?? null;
};
