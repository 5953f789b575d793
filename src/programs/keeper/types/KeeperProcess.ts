/** A running keeper process. */
export interface KeeperProcess {
  /** Base URL of `/healthz`, `/readyz` and `/metrics`. */
  readonly monitorUrl: string;
  /** Whether this keeper holds the lease, and so may send orders to the engines of its region. */
  isHolder(): boolean;
  /** Waits for the response to a running order, releases the lease and closes all connections. */
  stop(): Promise<void>;
}

/** Why a keeper did not start. */
export interface KeeperStartError {
  readonly kind: 'cannot-listen';
  readonly reason: string;
}
