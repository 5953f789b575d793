import type { Quarantine } from '../types';

/**
 * Lists the servers of a quarantine, and one more if its last trial has no known outcome.
 *
 * An answered trial ends the quarantine and removes its row. One of which nothing is known, as the
 * VM that sent it has ended, is taken for a further crash.
 *
 * @returns incarnations of servers; `trial TIME` stands for one that is not known
 *
 * @example
 * listTriedServers({ ...quarantine, servers: ['i-1'], trialStoreMs: 7, trialServers: 1 });
 * // => ['i-1', 'trial 7']
 */
export const listTriedServers = ({
  servers,
  trialServers = 0,
  trialStoreMs,
}: Quarantine): readonly string[] =>
  trialStoreMs === undefined || servers.length > trialServers
    ? servers
    : [...servers, `trial ${trialStoreMs}`];
