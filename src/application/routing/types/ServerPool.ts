import type { ServerSlots } from '../../../domain/admission';
import type { SpeedEstimate } from '../createQualityTracker';
import type { RunningEstimate } from './RouterLoadView';
import type { AllowedServers } from '../../../domain/routing';
import type { BackendServer, FilteredServer, Limits, WorkClass } from '../../../domain/types';

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
  readonly capacity: ServerSlots;
  /** Names the group of comparable servers: those that serve the same services. */
  readonly group: string;
  /** Positions of its group and its zone in the lists of the pool. */
  readonly groupIndex: number;
  readonly zoneIndex: number;
  /** Requests there below which one of each class may still be sent. */
  readonly requestLimits: Readonly<Record<WorkClass, number>>;
  readonly runningEstimate: RunningEstimate;
  readonly speedEstimate: SpeedEstimate;
}

/** The part of a pool that can take work now. */
export interface ReadyPool {
  readonly servers: readonly ReadyServer[];
  /** Position of each server by its name. */
  readonly positions: ReadonlyMap<string, number>;
  /** Slots of all the servers. */
  readonly slots: number;
  /** Groups and zones of the servers, each once. */
  readonly groups: readonly string[];
  readonly zones: readonly string[];
  readonly candidates: readonly string[];
  readonly filtered: readonly FilteredServer[];
}
