import { chooseLeastLoadedServer } from '../chooseLeastLoadedServer';
import { choosePacedServer, type PacedServerOptions } from '../choosePacedServer';
import type { LeastLoadedServerOptions, ServerStatus } from '../types';

/** Options of the choice; without `readSlowness`, the servers are equally fast. */
export interface ServerByLoadOptions extends LeastLoadedServerOptions {
  readonly readSlowness: PacedServerOptions['readSlowness'] | null;
}

/** Chooses the server of an attempt by load, and by speed if the servers differ in it. */
export const chooseServerByLoad = (
  servers: readonly ServerStatus[],
  { readSlowness, ...options }: ServerByLoadOptions,
): ServerStatus | null =>
  readSlowness
    ? choosePacedServer(servers, { ...options, readSlowness })
    : chooseLeastLoadedServer(servers, options);
