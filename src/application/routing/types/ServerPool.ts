import type { ServerSlots } from '../../../domain/admission';
import type { SpeedEstimate } from '../createQualityTracker';
import type { RunningEstimate } from './RouterLoadView';
import type { AllowedServers } from '../../../domain/routing';
import type { BackendServer, FilteredServer, Limits, WorkClass } from '../../../domain/types';

/** Servers allowed for one workspace and service under one configuration version. */
export interface ServerPool {
  readonly version: number;
  readonly limits: Limits;
  readonly allowed: AllowedServers;
  /** Identifies the set of allowed places; demands with the same set share a queue. */
  readonly placesKey: string;
  readonly weight: number;
  /** Weight relative to the mean of all workspaces. */
  readonly relativeWeight: number;
}

/** A server that can accept work now. */
export interface ReadyServer {
  readonly server: BackendServer;
  readonly capacity: ServerSlots;
  /** Group of comparable servers: those that serve the same services. */
  readonly group: string;
  /** Indexes of its group and its availability zone in the lists of the `ReadyPool`. */
  readonly groupIndex: number;
  readonly zoneIndex: number;
  /** By class of work: a demand is sent only while the server has fewer requests than this. */
  readonly requestLimits: Readonly<Record<WorkClass, number>>;
  readonly runningEstimate: RunningEstimate;
  readonly speedEstimate: SpeedEstimate;
}

/** The servers of a pool that can accept work now. */
export interface ReadyPool {
  readonly servers: readonly ReadyServer[];
  /** Index in `servers` by server name. */
  readonly positions: ReadonlyMap<string, number>;
  /** Total slots of all servers. */
  readonly slots: number;
  /** Distinct groups and availability zones of the servers. */
  readonly groups: readonly string[];
  readonly zones: readonly string[];
  readonly candidates: readonly string[];
  readonly filtered: readonly FilteredServer[];
}
