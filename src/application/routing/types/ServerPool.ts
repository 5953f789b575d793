import type { ServerRoom } from '../../../domain/admission';
import type { AllowedServers } from '../../../domain/routing';
import type { BackendServer, FilteredServer, Limits } from '../../../domain/types';

/** The servers of one workspace and service under one configuration version. */
export interface ServerPool {
  readonly version: number;
  readonly limits: Limits;
  readonly allowed: AllowedServers;
  /** Names the set of places; work of the same set queues together. */
  readonly placesKey: string;
  readonly weight: number;
  /** Weight relative to the mean of all workspaces. */
  readonly relativeWeight: number;
}

/** A server that can take work now. */
export interface ReadyServer {
  readonly server: BackendServer;
  readonly room: ServerRoom;
}

/** The part of a pool that can take work now. */
export interface ReadyPool {
  readonly servers: readonly ReadyServer[];
  readonly candidates: readonly string[];
  readonly filtered: readonly FilteredServer[];
}
