import type { Agent } from 'undici';
import { createOrderlyAgent } from '../../../http-connections';
import { DEFAULT_DEADLINE_MS } from '../constants';

/**
 * Connections to each of the platform's services. The platform accepts several hundred writes and
 * two thousand reads per second from all VMs; at a few milliseconds per call, 16 connections are
 * enough for all of these.
 */
const MAX_CONNECTIONS = 16;

/** Creates the connection pool to the platform; the program closes it at exit. */
export function createPlatformDispatcher(): Agent {
  return createOrderlyAgent({
    connections: MAX_CONNECTIONS,
    pipelining: 1,
    connect: { timeout: DEFAULT_DEADLINE_MS },
  });
}
