import type { LoadedModel } from '../../types';

/** An order that was sent and is not yet fulfilled. */
export interface PendingOrder {
  readonly models: readonly LoadedModel[];
  readonly role: string;
  /** Monotonic time of the most recent send, in milliseconds. */
  readonly sentAtMs: number;
  /** Monotonic time at which this same order was first sent, in milliseconds. */
  readonly firstSentAtMs: number;
}

/** The state of an engine as known to the keeper. */
export interface EngineState {
  readonly backendServer: string;
  /** True: the engine reported its load recently and is not shutting down. */
  readonly serving: boolean;
  /** Models that are loaded according to the last report. */
  readonly models: readonly LoadedModel[];
  readonly role: string;
  readonly pending: PendingOrder | null;
}
