import type { BackendServer, FilteredServer } from '../../types';

/** The allowed servers that can accept the work now, and those that can't. */
export interface ReadyServers {
  readonly ready: readonly BackendServer[];
  /** Servers that can't accept the work, each with a reason. */
  readonly filtered: readonly FilteredServer[];
}
