import type { LoadReport } from '../../../domain/types';
import type { LoadView } from '../../ports';

/** A live estimate: read again for each routing decision, without a lookup by server name. */
export interface RunningEstimate {
  /** Running and waiting requests: the newest report, corrected by the sends made since. */
  readonly running: number;
}

/** The load view with the operations that only the router and the load poller use. */
export interface RouterLoadView extends LoadView {
  findReport(backendServer: string): LoadReport | null;
  /** Returns the estimate of a server: always the same object, updated in place. */
  readRunningEstimate(backendServer: string): RunningEstimate;
  /** Tokens of the prompt expected in each server's KV cache; servers without any are omitted. */
  findCachedTokens(prefixes: readonly string[]): ReadonlyMap<string, number>;
  /** Sequence number of the newest cache event recorded for a server; 0 if none. */
  readCacheSequence(backendServer: string): number;
  /** Round trip to an availability zone from this VM, in milliseconds; 0 if not yet measured. */
  readZoneRoundTripMs(availabilityZone: string): number;
  recordZoneRoundTripMs(availabilityZone: string, roundTripMs: number): void;
  /** Records that this VM starts an attempt at the server. */
  recordSend(backendServer: string, prefixes: readonly string[]): void;
  /** Records that an attempt of this VM at the server ended; it held its slot for `holdMs`. */
  recordEnd(backendServer: string, holdMs: number): void;
  /** Records that the server refused an attempt: it counts as full until a newer report. */
  recordServerFull(backendServer: string, slots: number): void;
  /** Counter that increases whenever a report changes which work its server can accept. */
  readReadinessEpoch(): number;
  /**
   * Calls `listener` after each newer report, end of an own attempt or change of the peers' sends.
   *
   * @returns a function that removes the listener
   */
  addListener(listener: (backendServer: string) => void): () => void;
}
