import type { LoadedModel } from './EngineTarget';

/** Load that a backend server reported about itself; always somewhat out of date. */
export interface LoadReport {
  readonly backendServer: string;
  /** Increases with each report of one server process. */
  readonly sequence: number;
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Fraction of the cache memory in use, 0 to 1. */
  readonly cacheUse: number;
  /** Output tokens per second over the last report interval. */
  readonly tokensPerSecond: number;
  readonly models: readonly LoadedModel[];
  readonly role: string;
  /** True: the server reports that it is shutting down. */
  readonly leaving: boolean;
  /** Highest fencing token of an order that the server has accepted. */
  readonly fencingToken: number;
  /** Age of the figures when this VM received them, in milliseconds. */
  readonly ageMs: number;
  /** Monotonic time at which this VM received the report, in milliseconds. */
  readonly receivedAtMs: number;
}
