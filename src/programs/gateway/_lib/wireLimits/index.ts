import type { GatewayClient } from '../../../../adapters/connect';
import {
  createLimitOwner,
  createPermitClient,
  createServerLimits,
  type LimitOwner,
  type LimitPeer,
  type PermitClient,
  type ServerLimits,
} from '../../../../application/limits';
import type { Clock, EventLog, Randomness } from '../../../../application/ports';
import type { OwnerCandidate, SharedLimit } from '../../../../domain/limits';

/** Dependencies of the rate limit parts. */
export interface LimitPartsDependencies {
  readonly self: OwnerCandidate;
  readonly listPeers: () => readonly LimitPeer[];
  readonly calls: Pick<GatewayClient, 'acquirePermit' | 'releasePermit'>;
  readonly publishLimit: (limit: SharedLimit) => void;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly randomness: Randomness;
}

/** Parts that enforce the rate limits of servers. */
export interface LimitParts {
  readonly limits: ServerLimits;
  readonly owner: LimitOwner;
  readonly permits: PermitClient;
}

/** Wires the parts that enforce the rate limits of servers. */
export const wireLimits = ({
  calls,
  clock,
  listPeers,
  log,
  randomness,
  self,
  publishLimit,
}: LimitPartsDependencies): LimitParts => {
  const limits = createServerLimits({ clock, log, publishLimit });
  const owner = createLimitOwner({ clock, limits, randomness });
  const permits = createPermitClient({
    self,
    listPeers,
    askPeer: calls.acquirePermit,
    notifyReleased: calls.releasePermit,
    owner,
    limits,
    clock,
    log,
  });
  return { limits, owner, permits };
};
