/** A backend server: a model engine or the host of a plain service. */
export interface BackendServer {
  readonly name: string;
  /** Base URL with an IP address as host, without a trailing slash. */
  readonly url: string;
  readonly region: string;
  readonly availabilityZone: string;
  /** Names of the services that the server may serve. */
  readonly services: readonly string[];
  /** Number of requests that the server runs concurrently. */
  readonly slots: number;
  /** True: the engine refuses an order with an old fencing token. */
  readonly checksFencing: boolean;
}
