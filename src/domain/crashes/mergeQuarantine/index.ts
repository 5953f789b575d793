import { MAX_QUARANTINE_SERVERS, type Quarantine } from '../types';

/**
 * Merges what a VM knows of a quarantine into its row.
 *
 * @param stored - the row; null if there is none
 * @param known - the same quarantine as the VM knows it, on the same clock
 * @returns the servers of both, those of the row first, and the last trial of the row
 *
 * @example
 * mergeQuarantine({ ...known, servers: ['i-1'], trialStoreMs: 7 }, { ...known, servers: ['i-2'] });
 * // => { ...known, servers: ['i-1', 'i-2'], trialStoreMs: 7 }
 */
export const mergeQuarantine = (stored: Quarantine | null, known: Quarantine): Quarantine =>
  stored === null
    ? known
    : {
        ...stored,
        isCertain: stored.isCertain || known.isCertain,
        ranMs: Math.max(stored.ranMs, known.ranMs),
        servers: [...new Set([...stored.servers, ...known.servers])].slice(-MAX_QUARANTINE_SERVERS),
        lastCrashAtMs: Math.max(stored.lastCrashAtMs, known.lastCrashAtMs),
      };
