import type { BackendServer, FilteredServer, Service } from '../../types';

/**
 * Servers that a configuration allows for one workspace and service, regardless of their health.
 */
export interface AllowedServers {
  readonly service: Service;
  /** Sorted names of the places in which the work may run. */
  readonly places: readonly string[];
  readonly servers: readonly BackendServer[];
  /** Servers that are not allowed, each with a reason. */
  readonly filtered: readonly FilteredServer[];
}
