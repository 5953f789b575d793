import type { GatewayClient } from '../../../../adapters/connect';
import {
  createLimitOwner,
  createPermitClient,
  createRoomClient,
  createRoomOwner,
  createServerLimits,
  createServerPermits,
  createReachedLimits,
  type LimitOwner,
  type LimitPeer,
  type PermitClient,
  type RoomClientDependencies,
  type RoomOwner,
  type ServerLimits,
  type ServerPermits,
} from '../../../../application/limits';
import type { Clock, EventLog, Randomness } from '../../../../application/ports';
import type { OwnerCandidate, SharedLimit } from '../../../../domain/limits';

/** Dependencies of the rate limit parts. */
export interface LimitPartsDependencies {
  readonly self: OwnerCandidate;
  readonly listPeers: () => readonly LimitPeer[];
  readonly calls: Pick<
    GatewayClient,
    'acquirePermit' | 'acquireRoom' | 'releasePermit' | 'releaseRoom'
  >;
  readonly readServer: RoomClientDependencies['readServer'];
  /** Reads which part of the bounds the VMs may use that this one reaches, 0 to 1. */
  readonly readReachedFraction: () => number;
  readonly publishLimit: (limit: SharedLimit) => void;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly randomness: Randomness;
}

/** Parts that enforce the rate limits and the room of servers. */
export interface LimitParts {
  readonly limits: ServerLimits;
  readonly limitOwner: LimitOwner;
  readonly roomOwner: RoomOwner;
  readonly permits: Pick<PermitClient, 'forgetServer'> & ServerPermits;
}

/** Wires the parts that enforce the rate limits and the room of servers. */
export const wireLimits = ({
  calls,
  clock,
  listPeers,
  log,
  randomness,
  readReachedFraction,
  readServer,
  self,
  publishLimit,
}: LimitPartsDependencies): LimitParts => {
  const limits = createServerLimits({ clock, log, publishLimit });
  const reached = createReachedLimits({ limits, readReachedFraction, readServer });
  const limitOwner = createLimitOwner({ clock, limits: reached, randomness });
  const permits = createPermitClient({
    self,
    listPeers,
    askPeer: calls.acquirePermit,
    notifyReleased: calls.releasePermit,
    owner: limitOwner,
    limits: reached,
    clock,
    randomness,
    log,
  });
  const roomOwner = createRoomOwner({ clock, randomness });
  const rooms = createRoomClient({
    self,
    listPeers,
    askPeer: calls.acquireRoom,
    releaseAtPeer: calls.releaseRoom,
    owner: roomOwner,
    limits,
    readServer: reached.readServer,
    clock,
    randomness,
    log,
  });
  const { forgetServer } = permits;
  return {
    limits,
    limitOwner,
    roomOwner,
    permits: { ...createServerPermits(permits, rooms), forgetServer },
  };
};
