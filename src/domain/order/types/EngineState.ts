import type { LoadedModel } from '../../types';

/** An order that was sent and is not yet fulfilled. */
export interface PendingOrder {
  readonly models: readonly LoadedModel[];
  readonly role: string;
  /** Monotonic time of the newest send, in milliseconds. */
  readonly sentAtMs: number;
  /** Monotonic time at which this same order was first sent, in milliseconds. */
  readonly firstSentAtMs: number;
}

/** What the keeper knows of an engine. */
export interface EngineState {
  readonly backendServer: string;
  /** True: it reported its load just now and does not say that it is leaving. */
  readonly serving: boolean;
  /** Models loaded, as it last reported. */
  readonly models: readonly LoadedModel[];
  readonly role: string;
  readonly pending: PendingOrder | null;
}
