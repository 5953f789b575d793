/** Capacity and optional features of a service's engines. */
export interface EngineCapabilities {
  /** Requests that one engine runs concurrently. */
  readonly slots: number;
  /** Size of one engine's KV memory, in tokens. */
  readonly kvCapacityTokens: number;
  /** True if an engine continuously copies a run's KV cache to another one. */
  readonly supportsKvBackup: boolean;
  /** True if a run's KV cache can be copied on demand. */
  readonly supportsKvCopy: boolean;
}

/** A service as the configuration describes it. */
export interface ForwardedService {
  readonly name: string;
  /** Path at which the servers report their identity and health. */
  readonly healthPath: string;
  /** Engines of the service; null for a plain service. */
  readonly engine: EngineCapabilities | null;
}
