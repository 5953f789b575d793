import type { BackendServer, FilteredServer } from '../../types';

/** The allowed servers that can take the work now, and those that cannot. */
export interface ReadyServers {
  readonly ready: readonly BackendServer[];
  readonly filtered: readonly FilteredServer[];
}
