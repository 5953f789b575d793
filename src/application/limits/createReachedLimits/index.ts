import type { RoomClientDependencies } from '../createRoomClient';
import type { ServerLimits } from '../createServerLimits';

/** Dependencies of the reached limits. */
export interface ReachedLimitsDependencies {
  readonly limits: Pick<ServerLimits, 'readLimitPerS'>;
  readonly readServer: RoomClientDependencies['readServer'];
  /** Reads which part of the bounds the VMs may use that this one reaches, 0 to 1. */
  readonly readReachedFraction: () => number;
}

/** What the VMs that this one reaches may use of the limits that all VMs keep together. */
export type ReachedLimits = Pick<ServerLimits, 'readLimitPerS'> &
  Pick<RoomClientDependencies, 'readServer'>;

/**
 * Creates the limits that the owners on this side of a cut grant: each side chooses owners of its own
 * from the VMs that it knows.
 */
export const createReachedLimits = ({
  limits,
  readReachedFraction,
  readServer,
}: ReachedLimitsDependencies): ReachedLimits => ({
  readLimitPerS: (server) => {
    const limitPerS = limits.readLimitPerS(server);
    return limitPerS === null ? null : limitPerS * readReachedFraction();
  },
  readServer: (server) => {
    const known = readServer(server);
    return known && { ...known, slots: Math.floor(known.slots * readReachedFraction()) };
  },
});
