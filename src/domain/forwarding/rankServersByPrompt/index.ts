import { computeRendezvousWeight } from '../../membership';
import type { ServerStatus } from '../types';

const sortByRank = (servers: readonly ServerStatus[], key: string): readonly ServerStatus[] =>
  servers
    .map((status) => ({ status, rank: computeRendezvousWeight(key, status.entry.id) }))
    .sort((left, right) => right.rank - left.rank)
    .map(({ status }) => status);

/**
 * Ranks the servers that may get a prompt: half of them from anywhere, the rest from other zones
 * than the first one's.
 *
 * The rank follows from the prompt, so that every VM finds the same ones: a caller that comes back
 * through another VM is led to the servers that may have its prompt in memory.
 *
 * @param servers - servers that may take work
 * @param key - names the prompt
 * @param count - servers wanted
 */
export const rankServersByPrompt = (
  servers: readonly ServerStatus[],
  key: string,
  count: number,
): readonly ServerStatus[] => {
  const sound = servers.filter(({ isSuspected }) => !isSuspected);
  const ranked = sortByRank(sound.length > 0 ? sound : servers, key);
  const anywhere = ranked.slice(0, Math.ceil(count / 2));
  const zone = anywhere[0]?.entry.availabilityZone;
  const apart = ranked.filter(
    (status) => !anywhere.includes(status) && status.entry.availabilityZone !== zone,
  );
  const rest = ranked.filter((status) => !anywhere.includes(status) && !apart.includes(status));
  return [...anywhere, ...apart, ...rest].slice(0, count);
};
