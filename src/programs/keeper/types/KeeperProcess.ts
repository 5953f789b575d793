/** A running keeper process. */
export interface KeeperProcess {
  /** Base URL of `/healthz`, `/readyz` and `/metrics`. */
  readonly monitorUrl: string;
  /** True: this keeper may order the engines of its region. */
  isHolder(): boolean;
  /** Lets the order under way be answered, gives the lease up, and closes everything. */
  stop(): Promise<void>;
}

/** Why a keeper did not start. */
export interface KeeperStartError {
  readonly kind: 'cannot-listen';
  readonly reason: string;
}
