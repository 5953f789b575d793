/** Bounds that the platform sets. */
export interface GatewayBounds {
  /** From SIGTERM to SIGKILL. */
  readonly shutdownMs: number;
  /** From a server's end until its address may go to a server of another service. */
  readonly reuseAfterMs: number;
  /** After trouble of its own, a VM must keep the other bounds again this much later. */
  readonly settleMs: number;
  /** From the store's answer to a change until the change is in force. */
  readonly changeMs: number;
  /** Sends beyond the first of each request, as a part of a service's requests in a window. */
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  /** Such sends that are free in each window, over all VMs. */
  readonly retryExtra: number;
  /** Requests that a new version may get before it is known to be sound, as a part of its service's. */
  readonly trialRatio: number;
  /** Such requests on top, over all VMs. */
  readonly trialExtra: number;
}

/** Checked settings of a gateway. */
export interface GatewaySettings {
  readonly vm: string;
  readonly availabilityZone: string;
  /** Processor share of this VM; 0 if the platform does not tell it. */
  readonly cores: number;
  readonly callerAddress: string;
  readonly readinessAddress: string;
  /** Where other VMs reach this one. */
  readonly peerAddress: string;
  readonly metricsAddress: string;
  /** Peer addresses of some VMs; they may be stale. */
  readonly seedAddresses: readonly string[];
  readonly storeUrl: string;
  /** True: the whole system starts for the first time, so that no VM has written anything yet. */
  readonly isFirstStart: boolean;
  readonly bounds: GatewayBounds;
}

/** Why a settings file can't be used. */
export interface SettingsProblem {
  /** Dotted key; empty if the file as a whole is wrong. */
  readonly key: string;
  readonly reason: string;
}
