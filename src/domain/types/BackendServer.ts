/** A backend server: a model engine or a plain service's host. */
export interface BackendServer {
  readonly name: string;
  /** Base URL by IP number, without a trailing slash. */
  readonly url: string;
  readonly region: string;
  readonly availabilityZone: string;
  /** Names of the services that it may serve. */
  readonly services: readonly string[];
  /** Requests it runs at once. */
  readonly slots: number;
  /** True: the engine refuses an order with an old fencing token. */
  readonly checksFencing: boolean;
}
