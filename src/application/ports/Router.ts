import type { Result } from 'neverthrow';
import type { BackendServer, Demand, Refusal } from '../../domain/types';

/** How the attempt in a slot ended. */
export interface SlotOutcome {
  readonly outcome: 'finished' | 'failed' | 'cancelled' | 'not-started';
  /** Time from the send to the first token or response byte in milliseconds; 0 if none came. */
  readonly firstTokenMs: number;
  readonly outputTokens: number;
}

/** Permission to send one attempt to one backend server. */
export interface Slot {
  readonly server: BackendServer;
  readonly priority: number;
  /** Releases the slot; later calls change nothing. */
  release(outcome: SlotOutcome): void;
}

/** Chooses backend servers and limits what is sent to them. */
export interface Router {
  /** Acquires a slot, waits for one in the bounded queue, or refuses at once. */
  acquireSlot(demand: Demand, signal: AbortSignal): Promise<Result<Slot, Refusal>>;
}
