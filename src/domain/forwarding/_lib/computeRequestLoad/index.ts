import type { ServerStatus } from '../../types';

/** Prompt tokens that weigh as much as one running request: prefill slows running requests down. */
const PREFILL_TOKENS_PER_REQUEST = 4000;

/** Weight of a KV cache copy in requests: a copy occupies memory but no engine steps. */
const COPY_WEIGHT = 0.25;

/** Bonus of the preferred availability zone, in requests. */
export const ZONE_BONUS = 0.4;

/** Computes the load of a server in requests, less the bonus of the preferred zone. */
export const computeRequestLoad = (status: ServerStatus, preferredZone: string | null): number => {
  const ownLoad = status.running + status.pendingPrefillTokens / PREFILL_TOKENS_PER_REQUEST;
  const requests = Math.max(ownLoad, status.reported) + status.copies * COPY_WEIGHT;
  const zone = status.entry.availabilityZone === preferredZone ? -ZONE_BONUS : 0;
  const warmup = status.entry.warmupLeftMs > 0 ? 1 : 0;
  return requests + zone + warmup;
};
