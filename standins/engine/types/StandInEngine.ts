import type { AttemptRecord } from './AttemptRecord';
import type { FaultKind, PlannedFault } from './Fault';

/** A stand-in engine in this process. */
export interface StandInEngine {
  readonly name: string;
  readonly port: number;
  /** Base URL with an IP address. */
  readonly url: string;
  /** Injects a fault now. */
  applyFault(fault: FaultKind): void;
  /** Injects a fault when a stream reaches a point. */
  addPlannedFault(planned: PlannedFault): void;
  /** Multiplies first-token time and gaps from now on; 1 is normal. */
  updateSlowness(multiplier: number): void;
  /** Runs the next `count` generation requests, but never sends their answers. */
  dropAnswers(count: number): void;
  /** Serves again after a kill, with empty state. */
  restart(): Promise<void>;
  /** All attempts since the engine was created, also those before a kill. */
  listAttempts(): readonly AttemptRecord[];
  /** Waits until a stream (by the start of its id; empty: any that runs) has `count` tokens. */
  waitForTokens(count: number, streamId?: string): Promise<AttemptRecord>;
  /** Ends the engine and frees its port. */
  stop(): Promise<void>;
}
