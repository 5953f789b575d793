import type { ServiceLoad } from '../types';

/** Most bytes of loads in a message of 16 KB, which also names its senders. */
export const MAX_LOAD_BYTES = 15 * 1024;

/** Most bytes that a message holds of a service besides its name and its servers. */
const SERVICE_BYTES = 24;

/** Most bytes that a message holds of a server besides its name. */
const SERVER_BYTES = 24;

/** Loads that fit in a message. */
export interface LimitedLoad {
  readonly services: readonly ServiceLoad[];
  /** Number of servers that were left out. */
  readonly omittedServers: number;
}

/**
 * Limits loads to what fits in a message. Services come in their order, with all their servers as
 * long as there is room; of a service that does not fit, the servers with the most requests stay.
 */
export const limitLoadBytes = (services: readonly ServiceLoad[], maxBytes: number): LimitedLoad => {
  let leftBytes = maxBytes;
  let omittedServers = 0;
  const limited: ServiceLoad[] = [];
  services.forEach((load) => {
    leftBytes -= Buffer.byteLength(load.service) + SERVICE_BYTES;
    const kept = [...load.requestsByServer]
      .sort(([, left], [, right]) => right - left)
      .filter(([server]) => {
        leftBytes -= Buffer.byteLength(server) + SERVER_BYTES;
        return leftBytes >= 0;
      });
    omittedServers += load.requestsByServer.size - kept.length;
    if (leftBytes >= 0 || kept.length > 0)
      limited.push({ ...load, requestsByServer: new Map(kept) });
  });
  return { services: limited, omittedServers };
};
