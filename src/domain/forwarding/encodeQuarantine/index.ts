import type { Quarantine } from '../types';

/**
 * Encodes a quarantine for a row of a shared table; the fingerprint is the row's key.
 *
 * @param quarantine - with its time as Unix milliseconds: rows outlive processes
 */
export const encodeQuarantine = ({ lastCrashAtMs, servers }: Quarantine): Buffer =>
  Buffer.from(JSON.stringify({ servers, last_crash_unix_ms: Math.round(lastCrashAtMs) }));
