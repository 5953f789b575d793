/** What one engine should hold: stated whole, so that repeating the order is harmless. */
export interface EngineTarget {
  readonly backendServer: string;
  readonly models: readonly LoadedModel[];
  /** Engine role, for example `serve` or `standby`. */
  readonly role: string;
}

/** A model that an engine holds or should hold. */
export interface LoadedModel {
  readonly model: string;
  readonly version: string;
  readonly adapter: string;
}
