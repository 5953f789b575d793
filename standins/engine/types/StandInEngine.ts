import type { AttemptRecord } from './AttemptRecord';
import type { FaultKind, PlannedFault } from './Fault';

/** A stand-in engine in this process. */
export interface StandInEngine {
  readonly name: string;
  readonly port: number;
  /** Base URL by IP number. */
  readonly url: string;
  /** Brings about a fault now. */
  applyFault(fault: FaultKind): void;
  /** Brings about a fault when a stream reaches a point. */
  addPlannedFault(planned: PlannedFault): void;
  /** Multiplies first-token time and gaps from now on; 1 is normal. */
  updateSlowness(multiplier: number): void;
  /** The next `count` requests for a generation run, but their answers never leave. */
  dropAnswers(count: number): void;
  /** Serves again after a kill, with nothing kept. */
  restart(): Promise<void>;
  /** All attempts since the engine was created, also those before a kill. */
  listAttempts(): readonly AttemptRecord[];
  /** Waits until a stream (by the start of its id; empty: any that runs) has `count` tokens. */
  waitForTokens(count: number, streamId?: string): Promise<AttemptRecord>;
  /** Ends the engine and frees its port. */
  stop(): Promise<void>;
}
