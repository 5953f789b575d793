import type { ExecutedCall } from './ExecutedCall';
import type { PlainFault } from './PlainFault';

/** A stand-in plain service in this process. */
export interface StandInPlainService {
  readonly port: number;
  readonly url: string;
  /** The next `count` calls meet the fault. */
  addFault(fault: PlainFault, count: number): void;
  /** Lets the answers held by `delay` go. */
  releaseAnswers(): void;
  /** Executed calls, oldest first. */
  listCalls(): readonly ExecutedCall[];
  /** Waits until `count` calls were executed since the start. */
  waitForCalls(count: number): Promise<readonly ExecutedCall[]>;
  /** Breaks all connections and refuses new ones. */
  kill(): Promise<void>;
  restart(): Promise<void>;
  stop(): Promise<void>;
}
