/** What engines of a service can do beside running requests. */
export interface EngineCapabilities {
  /** Requests that one engine runs at once. */
  readonly slots: number;
  /** Tokens that fit into one engine's KV memory. */
  readonly kvCapacityTokens: number;
  /** True: an engine copies a run's KV memory to another one as it grows. */
  readonly supportsKvBackup: boolean;
  /** True: a run's memory can be copied on demand. */
  readonly supportsKvCopy: boolean;
}

/** A service as the configuration describes it. */
export interface ForwardedService {
  readonly name: string;
  /** Path at which its servers say who they are. */
  readonly healthPath: string;
  /** Null: a plain service. */
  readonly engine: EngineCapabilities | null;
}
