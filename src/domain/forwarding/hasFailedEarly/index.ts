/** A request that ends its server does so as it begins, also at a server that is slowed down. */
const EARLY_MS = 1000;

/**
 * Says whether a run broke off so early that the request itself may have ended the server. One that
 * had not begun did not.
 *
 * @param run.headAtMs - when the server's head came; null if none did
 * @param run.nowMs - when the run broke off
 */
export const hasFailedEarly = ({
  headAtMs,
  nowMs,
}: {
  readonly headAtMs: number | null;
  readonly nowMs: number;
}): boolean => headAtMs !== null && nowMs - headAtMs <= EARLY_MS;
