import type { LoadedModel } from './EngineTarget';

/** Load that a backend server reported of itself; late by nature. */
export interface LoadReport {
  readonly backendServer: string;
  /** Grows with each report of one server process. */
  readonly sequence: number;
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Part of the cache memory in use, 0 to 1. */
  readonly cacheUse: number;
  /** Output tokens a second over the last report interval. */
  readonly tokensPerSecond: number;
  readonly models: readonly LoadedModel[];
  readonly role: string;
  /** True: the server says of itself that it is leaving. */
  readonly leaving: boolean;
  /** Highest fencing token of an order that it has taken. */
  readonly fencingToken: number;
  /** Age of the figures when this VM received them, in milliseconds. */
  readonly ageMs: number;
  /** Monotonic time at which this VM received the report, in milliseconds. */
  readonly receivedAtMs: number;
}
