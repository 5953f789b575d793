import { Agent } from 'undici';
import { DEFAULT_DEADLINE_MS } from '../constants';

/**
 * Connections to each of the platform's services. The platform takes several hundred writes and
 * two thousand reads a second from all VMs; at a few milliseconds a call, 16 carry more than that.
 */
const MAX_CONNECTIONS = 16;

/** Creates the connections to the platform; the program closes them at its end. */
export function createPlatformDispatcher(): Agent {
  return new Agent({
    connections: MAX_CONNECTIONS,
    pipelining: 1,
    connect: { timeout: DEFAULT_DEADLINE_MS },
  });
}
