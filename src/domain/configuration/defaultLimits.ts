import type { Limits } from '../types';

/**
 * Limits in force where the configuration names none.
 *
 * Sources: a dossier of a few hundred pages of text is under 16 MiB; a quarter of the slots keeps
 * lookups quick at the sizes of both deployments; a tenth of extra attempts is the usual retry
 * budget; callers come back within two minutes of a lost connection, or repeat the request within
 * a day.
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
