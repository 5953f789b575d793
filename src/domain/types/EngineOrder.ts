import type { LoadedModel } from './EngineTarget';

/** An order to an engine: its complete desired state with the fencing token of the lease. */
export interface EngineOrder {
  readonly backendServer: string;
  readonly fencingToken: number;
  readonly models: readonly LoadedModel[];
  readonly role: string;
}
