import type { OwnerCandidate, PermitDecision } from '../../../domain/limits';
import { createSkipList } from '../../_lib/createSkipList';
import type { Clock, EventLog, Randomness } from '../../ports';
import { askOwnerQuorum } from '../_lib/askOwnerQuorum';
import type { RoomOwner } from '../createRoomOwner';
import type { ServerLimits } from '../createServerLimits';
import type { LimitOwnerVm, LimitPeer, RoomRelease, RoomRequest } from '../types';

/** Dependencies of the room client. */
export interface RoomClientDependencies {
  /** This VM. */
  readonly self: OwnerCandidate;
  readonly listPeers: () => readonly LimitPeer[];
  /** Asks another VM for room; resolves with null if the VM does not respond in time. */
  readonly askPeer: (address: string, request: RoomRequest) => Promise<PermitDecision | null>;
  /** Gives room back to another VM; resolves with false if the VM does not respond. */
  readonly releaseAtPeer: (address: string, release: RoomRelease) => Promise<boolean>;
  readonly owner: RoomOwner;
  readonly limits: Pick<ServerLimits, 'readMaxRejectionsPerS'>;
  /** Reads what this VM knows of a server; null if it is unknown. */
  readonly readServer: (
    server: string,
  ) => { readonly slots: number; readonly running: number } | null;
  readonly clock: Pick<Clock, 'readMonotonicMs' | 'startTimer'>;
  readonly randomness: Pick<Randomness, 'readHex'>;
  readonly log: EventLog;
}

/** The right to have one request at a server. */
export interface Room {
  /** Gives the room back once the request has ended; later calls change nothing. */
  release(outcome: { readonly isRejected: boolean }): void;
}

/** Times of a request for room, in milliseconds. */
export interface RoomTimes {
  /** The request has ended after this time. */
  readonly leftMs: number;
  /** Time for which the caller waits for room. */
  readonly waitMs: number;
}

/** Acquires room at brittle servers. */
export interface RoomClient {
  /**
   * Resolves with room, or with the time in milliseconds after which to ask again.
   *
   * @param options - times in milliseconds
   */
  acquireRoom(server: string, options: RoomTimes): Promise<Room | number>;
}

/** Time until the next attempt while too few owners respond. */
const NO_QUORUM_WAIT_MS = 500;

/** Owners that did not respond are told of the end of a request again, once. */
const REPEAT_RELEASE_MS = 500;

const FREE_ROOM: Room = { release: () => undefined };

/** Creates the room client of this VM. */
export const createRoomClient = (dependencies: RoomClientDependencies): RoomClient => {
  const { askPeer, clock, limits, listPeers, log, owner, randomness, readServer, releaseAtPeer } =
    dependencies;
  const { availabilityZone, vm } = dependencies.self;
  const thisVm: LimitOwnerVm = { vm, availabilityZone, address: null };
  const silentOwners = createSkipList(clock);
  const incarnation = randomness.readHex(4);
  let sequence = 0;

  const releaseAt = async ({ address }: LimitOwnerVm, release: RoomRelease): Promise<void> => {
    if (address === null) owner.releaseRoom(release);
    else if (!(await releaseAtPeer(address, release)))
      clock.startTimer(REPEAT_RELEASE_MS, () => {
        releaseAtPeer(address, { ...release, isRejected: false });
      });
  };

  const askOwner = async (
    one: LimitOwnerVm,
    request: RoomRequest,
  ): Promise<PermitDecision | null> => {
    const decision = await (one.address === null
      ? owner.handleRoomRequest(request)
      : askPeer(one.address, request));
    if (decision) return decision;
    silentOwners.add(one.vm);
    log.info('room owner silent', { server: request.server, owner: one.vm });
    // The owner may have granted the room.
    releaseAt(one, { server: request.server, id: request.id, isRejected: false });
    return null;
  };

  const buildRoom = (owners: readonly LimitOwnerVm[], { id, server }: RoomRequest): Room => {
    let isHeld = true;
    return {
      release: ({ isRejected }) => {
        if (isHeld) owners.forEach((one) => releaseAt(one, { server, id, isRejected }));
        isHeld = false;
      },
    };
  };

  const askOwners = async (request: RoomRequest): Promise<Room | number> => {
    const waitUntilMs = clock.readMonotonicMs() + request.waitMs;
    const vms: readonly LimitOwnerVm[] = [thisVm, ...listPeers()];
    const decision = await askOwnerQuorum({
      server: request.server,
      vms,
      silentOwners,
      askOwner: (one) => {
        const waitMs = Math.max(0, Math.round(waitUntilMs - clock.readMonotonicMs()));
        return askOwner(one, { ...request, waitMs });
      },
      releaseGrants: (owners) => buildRoom(owners, request).release({ isRejected: false }),
    });
    if (decision.kind === 'granted') return buildRoom(decision.owners, request);
    if (decision.kind === 'refused') return decision.waitMs;
    // A VM that reaches too few others uses its even share of the slots.
    const share = Math.floor(request.slots / vms.length);
    const isInShare = request.running < share;
    return isInShare ? FREE_ROOM : NO_QUORUM_WAIT_MS;
  };

  return {
    acquireRoom: async (server, { leftMs, waitMs }) => {
      const maxRejectionsPerS = limits.readMaxRejectionsPerS(server);
      const known = maxRejectionsPerS === null ? null : readServer(server);
      if (maxRejectionsPerS === null || known === null) return FREE_ROOM;
      if (known.slots === 0) return NO_QUORUM_WAIT_MS;
      sequence += 1;
      return askOwners({
        ...known,
        id: `${vm} ${incarnation} ${sequence}`,
        sender: vm,
        server,
        maxRejectionsPerS,
        leftMs: Math.ceil(leftMs),
        waitMs: Math.round(waitMs),
      });
    },
  };
};
