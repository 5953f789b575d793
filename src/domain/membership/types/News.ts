import type { Fact } from './Fact';
import type { PeerRecord } from './PeerRecord';

/** What one VM tells another in one message. */
export interface News {
  readonly sender: PeerRecord;
  /** Heartbeats of the sender's process so far. */
  readonly beats: number;
  /** The sender's change counter up to which the facts reach. */
  readonly sequence: number;
  /** The sender's change counter after which the facts start; 0 means that they are complete. */
  readonly since: number;
  /** The receiver's change counter that the sender has taken in; 0 asks for everything. */
  readonly acknowledged: number;
  readonly configurationVersion: number;
  /** Age of the newest table read that the sender knows of, in milliseconds, or null. */
  readonly newestReadAgeMs: number | null;
  /** The sender's monotonic clock at sending, in milliseconds. */
  readonly clockMs: number;
  /**
   * The newest clock value that the sender got from the receiver, 0 if none: this news was written
   * after the receiver's clock showed it, however long it lay in a buffer since.
   */
  readonly echoClockMs: number;
  /** True: the answer needs no facts. */
  readonly brief: boolean;
  readonly facts: readonly Fact[];
}
