import type { Quarantine } from '../types';

/**
 * Encodes a quarantine as a row of a shared table; the fingerprint is the key of the row.
 *
 * @param quarantine - its time is in Unix milliseconds, since rows outlive processes
 */
export const encodeQuarantine = ({
  isCertain,
  lastCrashAtMs,
  ranMs,
  servers,
  trialServers,
  trialStoreMs,
}: Quarantine): Buffer =>
  Buffer.from(
    JSON.stringify({
      servers,
      certain: isCertain,
      ran_ms: Math.round(ranMs),
      last_crash_unix_ms: Math.round(lastCrashAtMs),
      trial_store_ms: trialStoreMs,
      trial_servers: trialServers,
    }),
  );
