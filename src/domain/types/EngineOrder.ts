import type { LoadedModel } from './EngineTarget';

/** An order to an engine: the whole desired set under the lease's fencing token. */
export interface EngineOrder {
  readonly backendServer: string;
  readonly fencingToken: number;
  readonly models: readonly LoadedModel[];
  readonly role: string;
}
