import type { Result } from 'neverthrow';
import type { BackendServer, Demand, Refusal } from '../../domain/types';

/** How the use of a slot ended. */
export interface SlotOutcome {
  readonly outcome: 'finished' | 'failed' | 'cancelled' | 'not-started';
  /** From the send to the first token or answer byte, in milliseconds; 0 if none came. */
  readonly firstTokenMs: number;
  readonly outputTokens: number;
}

/** Leave to send one attempt to one backend server. */
export interface Slot {
  readonly server: BackendServer;
  readonly priority: number;
  /** Gives the slot back; later calls change nothing. */
  release(outcome: SlotOutcome): void;
}

/** Chooses backend servers and limits what is sent to them. */
export interface Router {
  /** Gives a slot, waits in the bounded queue for one, or refuses at once. */
  acquireSlot(demand: Demand, signal: AbortSignal): Promise<Result<Slot, Refusal>>;
}
