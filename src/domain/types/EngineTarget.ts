/** Complete desired state of one engine, so that an order to reach it is idempotent. */
export interface EngineTarget {
  readonly backendServer: string;
  readonly models: readonly LoadedModel[];
  /** Engine role, for example `serve` or `standby`. */
  readonly role: string;
}

/** A model that an engine has loaded or should load. */
export interface LoadedModel {
  readonly model: string;
  readonly version: string;
  readonly adapter: string;
}
