/** Time limits and retry budgets that the platform sets. */
export interface GatewayBounds {
  /** Time from SIGTERM to SIGKILL. */
  readonly shutdownMs: number;
  /** Time from the end of a server until its address may go to a server of another service. */
  readonly reuseAfterMs: number;
  /**
   * Time after a failure of its own (such as a pause) until a VM must meet the other bounds again.
   */
  readonly settleMs: number;
  /** Time from the store's acknowledgement of a change until the change must be in force. */
  readonly changeMs: number;
  /** Retries as a fraction of a service's requests in a window. */
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  /** Further retries allowed in each window, over all VMs. */
  readonly retryExtra: number;
  /**
   * Fraction of a service's requests that may go to a new version before it is known to be sound.
   */
  readonly trialRatio: number;
  /** Further requests that may go to the new version, over all VMs. */
  readonly trialExtra: number;
}

/** Validated settings of a gateway. */
export interface GatewaySettings {
  readonly vm: string;
  readonly availabilityZone: string;
  /** Processor cores of this VM; 0 if unknown. */
  readonly cores: number;
  /** Memory beyond which the process is killed; null if unknown. */
  readonly memoryBytes: number | null;
  readonly callerAddress: string;
  readonly readinessAddress: string;
  /** Address at which other VMs reach this one. */
  readonly peerAddress: string;
  readonly metricsAddress: string;
  /** Peer addresses of some other VMs; they may be outdated. */
  readonly seedAddresses: readonly string[];
  readonly storeUrl: string;
  /** True if the whole system starts for the first time and the store is still empty. */
  readonly isFirstStart: boolean;
  readonly bounds: GatewayBounds;
}

/** Reason why a settings file can't be used. */
export interface SettingsProblem {
  /** Dotted key of the invalid setting; empty if the file as a whole is invalid. */
  readonly key: string;
  readonly reason: string;
}
