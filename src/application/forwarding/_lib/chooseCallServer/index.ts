import {
  chooseServerByLoad,
  type FleetReader,
  type PacedServerOptions,
  type ServerStatus,
} from '../../../../domain/forwarding';
import type { ForwardContext, ForwardingDependencies } from '../../types';

/** Options of the choice. */
export interface CallServerOptions {
  readonly excludedIds: ReadonlySet<string>;
  /** True if the call has reached a server before. */
  readonly isRepeat: boolean;
  readonly readPace: PacedServerOptions['readPace'] | null;
  readonly fleet: FleetReader | null;
}

/**
 * Chooses the server of the next attempt of a call; null if none takes it.
 *
 * A first attempt may find out that a full server has room again. A repeat would take a retry that
 * serves another call better.
 */
export const chooseCallServer = (
  { availabilityZone, randomness }: ForwardingDependencies,
  { servers }: ForwardContext,
  { excludedIds, fleet, isRepeat, readPace }: CallServerOptions,
): ServerStatus | null =>
  chooseServerByLoad(
    servers.list().filter(({ isFull }) => !(isRepeat && isFull)),
    {
      ...{ readPace, fleet, excludedIds },
      avoidedZone: null,
      preferredZone: availabilityZone,
      draw: randomness.readFraction(),
    },
  );
