/** Most servers of a quarantine; a row with more is another writer's. */
export const MAX_QUARANTINE_SERVERS = 32;

/** Requests that are no longer sent to servers, because they crashed those that ran them. */
export interface Quarantine {
  /** False if the servers may have been lost for another reason. */
  readonly isCertain: boolean;
  /** Fingerprint of the request, or of all requests with a prompt part. */
  readonly fingerprint: string;
  /** Longest time for which one of these servers had run such a request, in milliseconds. */
  readonly ranMs: number;
  /** Incarnations of the servers that crashed. */
  readonly servers: readonly string[];
  /** Time of the last crash, in milliseconds; the user of the type chooses the clock. */
  readonly lastCrashAtMs: number;
  /** When the last trial was granted, on the store's clock; absent if there was none. */
  readonly trialStoreMs?: number;
  /** Number of `servers` when it was granted. */
  readonly trialServers?: number;
}
