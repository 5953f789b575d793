import { computeRendezvousWeight } from '../../membership';
import type { ServerStatus } from '../types';

const sortByRank = (servers: readonly ServerStatus[], key: string): readonly ServerStatus[] =>
  servers
    .map((status) => ({ status, rank: computeRendezvousWeight(key, status.entry.id) }))
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
 */
export const rankServersByPrompt = (
  servers: readonly ServerStatus[],
  key: string,
  count: number,
): readonly ServerStatus[] => {
  const healthy = servers.filter(({ isSuspected }) => !isSuspected);
  const ranked = sortByRank(healthy.length > 0 ? healthy : servers, key);
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
