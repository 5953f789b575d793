import { computeRendezvousWeight } from '../../membership';
import type { ServerEntry, ServerStatus } from '../types';

/** Values of a rendezvous hash. */
const HASH_RANGE = 2 ** 32;

/** Reads the speed of a server relative to others; a server gets prompts in this proportion. */
type SpeedReader = (server: ServerEntry) => number;

/** Weighted rendezvous hashing (Schindelhauer and Schomaker 2005), with speeds. */
const computeRank = (key: string, entry: ServerEntry, readSpeed: SpeedReader | null): number => {
  const hash = computeRendezvousWeight(key, entry.id);
  return readSpeed ? -readSpeed(entry) / Math.log((hash + 0.5) / HASH_RANGE) : hash;
};

const sortByRank = (
  servers: readonly ServerStatus[],
  key: string,
  readSpeed: SpeedReader | null,
): readonly ServerStatus[] =>
  servers
    .map((status) => ({ status, rank: computeRank(key, status.entry, readSpeed) }))
    .sort((left, right) => right.rank - left.rank)
    .map(({ status }) => status);

/**
 * Ranks the candidate servers of a prompt by rendezvous hashing.
 *
 * Half of the candidates are from any availability zone, the rest from other zones than the first
 * one's. All VMs rank alike, so that a caller that retries through another VM reaches the servers
 * that may have its prompt in the KV cache.
 *
 * @param servers - servers that accept work
 * @param key - id of the prompt
 * @param count - number of candidates
 * @param readSpeed - null if the servers are equally fast
 */
export const rankServersByPrompt = (
  servers: readonly ServerStatus[],
  key: string,
  count: number,
  readSpeed: SpeedReader | null = null,
): readonly ServerStatus[] => {
  const healthy = servers.filter(({ isSuspected }) => !isSuspected);
  const ranked = sortByRank(healthy.length > 0 ? healthy : servers, key, readSpeed);
  const anywhere = ranked.slice(0, Math.ceil(count / 2));
  const zone = anywhere[0]?.entry.availabilityZone;
  const otherZones = ranked.filter(
    (status) => !anywhere.includes(status) && status.entry.availabilityZone !== zone,
  );
  const rest = ranked.filter(
    (status) => !anywhere.includes(status) && !otherZones.includes(status),
  );
  return [...anywhere, ...otherZones, ...rest].slice(0, count);
};
