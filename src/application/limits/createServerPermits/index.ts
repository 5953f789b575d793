import type { PermitClient } from '../createPermitClient';
import type { RoomClient, RoomTimes } from '../createRoomClient';

/** The right to send one request to a server. */
export interface ServerPermit {
  /** Returns the permit unused: no request was sent. */
  release(): void;
  /** Records that the request has ended. */
  finish(outcome: { readonly isRejected: boolean }): void;
}

/** Acquires what a request needs at a server that limits its requests. */
export interface ServerPermits {
  /**
   * Resolves with a permit, or with the time in milliseconds after which to ask again.
   *
   * @param times - times in milliseconds, of a request to a brittle server
   */
  acquirePermit(server: string, times: RoomTimes): Promise<ServerPermit | number>;
}

/** Creates permits that include a server's rate limit and, if it is brittle, its room. */
export const createServerPermits = (
  permits: Pick<PermitClient, 'acquirePermit'>,
  rooms: RoomClient,
): ServerPermits => ({
  acquirePermit: async (server, times) => {
    const permit = await permits.acquirePermit(server);
    if (typeof permit === 'number') return permit;
    const room = await rooms.acquireRoom(server, times);
    if (typeof room === 'number') {
      permit.release();
      return room;
    }
    return {
      finish: room.release,
      release: () => {
        permit.release();
        room.release({ isRejected: false });
      },
    };
  },
});
