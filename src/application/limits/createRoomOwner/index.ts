import { decideRoom, type PermitDecision } from '../../../domain/limits';
import type { Clock, Randomness } from '../../ports';
import type { RoomRelease, RoomRequest } from '../types';

/** Dependencies of the room owner. */
export interface RoomOwnerDependencies {
  readonly clock: Pick<Clock, 'readMonotonicMs' | 'startTimer'>;
  readonly randomness: Randomness;
}

/** Keeps the room of the brittle servers that this VM owns, for all VMs together. */
export interface RoomOwner {
  /**
   * Decides on a room request, once there is room or the sender no longer waits. A granted one
   * counts until it is released or has ended.
   */
  handleRoomRequest(request: RoomRequest): Promise<PermitDecision>;
  releaseRoom(release: RoomRelease): void;
}

interface Grant {
  readonly sender: string;
  readonly endsAtMs: number;
}

/** A request that waits for room. */
interface Waiter {
  readonly request: RoomRequest;
  readonly resolve: (decision: PermitDecision) => void;
}

interface ServerRoom {
  waiters: readonly Waiter[];
  /** Granted requests by id. */
  readonly grants: Map<string, Grant>;
  /** Requests that each VM stated to have at the server, with the time of the statement. */
  readonly statedBySender: Map<string, { readonly running: number; readonly atMs: number }>;
  rejectedAtMs: readonly number[];
  lastAskedAtMs: number;
}

/** A VM's statement counts for this long; it makes one with each request. */
const STATEMENT_TTL_MS = 500;

/** Requests that wait for room at a server, for each of its slots; further ones are refused. */
const MAX_WAITING_PER_SLOT = 4;

/** Rejections are kept for as long as decisions use them. */
const REJECTION_TTL_MS = 4000;

/** A server that no VM has asked about for this long is removed. */
const IDLE_TTL_MS = 60_000;

/** Creates the room owner of this VM, with no servers yet. */
export const createRoomOwner = ({ clock, randomness }: RoomOwnerDependencies): RoomOwner => {
  const rooms = new Map<string, ServerRoom>();

  const findOrCreateRoom = (server: string, nowMs: number): ServerRoom => {
    const known = rooms.get(server);
    if (known) return known;
    rooms.forEach(({ lastAskedAtMs }, id) => {
      if (lastAskedAtMs < nowMs - IDLE_TTL_MS) rooms.delete(id);
    });
    const room: ServerRoom = {
      waiters: [],
      grants: new Map(),
      statedBySender: new Map(),
      rejectedAtMs: [],
      lastAskedAtMs: nowMs,
    };
    rooms.set(server, room);
    return room;
  };

  const removeExpired = (room: ServerRoom, nowMs: number): void => {
    room.grants.forEach(({ endsAtMs }, id) => {
      if (endsAtMs <= nowMs) room.grants.delete(id);
    });
    room.statedBySender.forEach(({ atMs }, sender) => {
      if (atMs <= nowMs - STATEMENT_TTL_MS) room.statedBySender.delete(sender);
    });
    Object.assign(room, {
      rejectedAtMs: room.rejectedAtMs.filter((atMs) => atMs > nowMs - REJECTION_TTL_MS),
    });
  };

  /** Counts the requests of each VM: those granted, or those that it has, if that is more. */
  const countHeld = ({ grants, statedBySender }: ServerRoom): number => {
    const heldBySender = new Map<string, number>();
    grants.forEach(({ sender }) => heldBySender.set(sender, (heldBySender.get(sender) ?? 0) + 1));
    statedBySender.forEach(({ running }, sender) =>
      heldBySender.set(sender, Math.max(running, heldBySender.get(sender) ?? 0)),
    );
    return [...heldBySender.values()].reduce((sum, held) => sum + held, 0);
  };

  const decide = (room: ServerRoom, request: RoomRequest): PermitDecision => {
    const { id, leftMs, maxRejectionsPerS, sender, slots } = request;
    const nowMs = clock.readMonotonicMs();
    removeExpired(room, nowMs);
    const decision = decideRoom({
      held: countHeld(room),
      slots,
      askingVms: room.statedBySender.size,
      maxRejectionsPerS,
      rejectionAgesMs: room.rejectedAtMs.map((atMs) => nowMs - atMs),
      draw: randomness.readFraction(),
    });
    if (decision.isGranted) room.grants.set(id, { sender, endsAtMs: nowMs + leftMs });
    return decision;
  };

  /** Grants room to those that wait, the first one first, as far as there is room. */
  const decideWaiters = (room: ServerRoom): void => {
    for (let [first] = room.waiters; first; [first] = room.waiters) {
      const decision = decide(room, first.request);
      if (!decision.isGranted) return;
      Object.assign(room, { waiters: room.waiters.slice(1) });
      first.resolve(decision);
    }
  };

  const waitForRoom = (room: ServerRoom, request: RoomRequest): Promise<PermitDecision> =>
    new Promise((resolve) => {
      const waiter: Waiter = { request, resolve };
      Object.assign(room, { waiters: [...room.waiters, waiter] });
      clock.startTimer(request.waitMs, () => {
        if (!room.waiters.includes(waiter)) return;
        const waiters = room.waiters.filter((one) => one !== waiter);
        Object.assign(room, { waiters });
        resolve(decide(room, request));
      });
    });

  return {
    handleRoomRequest: async (request) => {
      const { running, sender, server, slots, waitMs } = request;
      const nowMs = clock.readMonotonicMs();
      const room = findOrCreateRoom(server, nowMs);
      room.lastAskedAtMs = nowMs;
      room.statedBySender.set(sender, { running, atMs: nowMs });
      const isFirst = room.waiters.length === 0;
      const decision = isFirst ? decide(room, request) : null;
      const hasPlace = room.waiters.length < slots * MAX_WAITING_PER_SLOT;
      if (decision?.isGranted) return decision;
      return waitMs > 0 && hasPlace ? waitForRoom(room, request) : decide(room, request);
    },
    releaseRoom: ({ id, isRejected, server }) => {
      const room = rooms.get(server);
      if (!room) return;
      const sender = room.grants.get(id)?.sender;
      room.grants.delete(id);
      room.waiters = room.waiters.filter(({ request }) => request.id !== id);
      // The statement includes the request that has ended.
      const stated = sender === undefined ? undefined : room.statedBySender.get(sender);
      if (sender !== undefined && stated) {
        const running = Math.max(0, stated.running - 1);
        room.statedBySender.set(sender, { ...stated, running });
      }
      if (isRejected) room.rejectedAtMs = [...room.rejectedAtMs, clock.readMonotonicMs()];
      decideWaiters(room);
    },
  };
};
