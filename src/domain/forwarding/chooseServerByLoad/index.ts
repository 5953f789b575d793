import { chooseLeastLoadedServer } from '../chooseLeastLoadedServer';
import { choosePacedServer, type PacedServerOptions } from '../choosePacedServer';
import type { LeastLoadedServerOptions, ServerStatus } from '../types';

/** Options of the choice; without `readPace`, the servers are equally fast. */
export interface ServerByLoadOptions extends LeastLoadedServerOptions {
  readonly readPace: PacedServerOptions['readPace'] | null;
  /** Load of all VMs; counts only if the servers differ in speed. */
  readonly fleet?: PacedServerOptions['fleet'];
}

/** Chooses the server of an attempt by load, and by speed if the servers differ in it. */
export const chooseServerByLoad = (
  servers: readonly ServerStatus[],
  { readPace, ...options }: ServerByLoadOptions,
): ServerStatus | null =>
  readPace
    ? choosePacedServer(servers, { ...options, readPace })
    : chooseLeastLoadedServer(servers, options);
