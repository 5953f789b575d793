import type { Limits } from '../types';

/**
 * Limits for all keys that the configuration omits.
 *
 * A document of a few hundred pages of text is smaller than 16 MiB. A quarter of the slots keeps
 * lookups fast at the size of both known deployments. A retry budget of a tenth is customary.
 * Callers reconnect within two minutes of a lost connection, or repeat the request within a day.
 */
export const DEFAULT_LIMITS: Limits = {
  maxBodyBytes: 16 * 1024 * 1024,
  maxQueuedLong: 256,
  lookupReserve: 0.25,
  retryBudget: 0.1,
  drainMs: 600_000,
  answerTtlMs: 86_400_000,
  detachedMs: 120_000,
};
