import type { BackendServer, FilteredServer, Service } from '../../types';

/** What one configuration version allows to one workspace and service, whatever the health. */
export interface AllowedServers {
  readonly service: Service;
  /** Names of the places in which the work may run, sorted. */
  readonly places: readonly string[];
  readonly servers: readonly BackendServer[];
  readonly filtered: readonly FilteredServer[];
}
