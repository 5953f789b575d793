import type { Fact } from './Fact';
import type { PeerRecord } from './PeerRecord';

/** A gossip message from one VM to another. */
export interface News {
  readonly sender: PeerRecord;
  /** Number of heartbeats of the sender's process so far. */
  readonly beats: number;
  /** Change counter of the sender up to which the facts are complete. */
  readonly sequence: number;
  /** Change counter of the sender after which the facts start; 0 for a full set of facts. */
  readonly since: number;
  /** Change counter of the receiver that the sender has processed; 0 requests all facts. */
  readonly acknowledged: number;
  readonly configurationVersion: number;
  /** Age of the newest table read that the sender knows of, in milliseconds, or null. */
  readonly newestReadAgeMs: number | null;
  /** The sender's monotonic clock at sending, in milliseconds. */
  readonly clockMs: number;
  /**
   * The newest `clockMs` that the sender received from the receiver, 0 if none. Proves that this
   * message was written after that time on the receiver's clock, however long it was buffered.
   */
  readonly echoClockMs: number;
  /** True: the response needs no facts. */
  readonly brief: boolean;
  readonly facts: readonly Fact[];
}
