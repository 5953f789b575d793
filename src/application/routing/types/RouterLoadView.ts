import type { LoadReport } from '../../../domain/types';
import type { LoadView } from '../../ports';

/** A figure that stays up to date; read again for each decision, without a search by name. */
export interface RunningEstimate {
  /** Requests at the server, running and waiting: the report corrected by sends since. */
  readonly running: number;
}

/** The load view with what only the router and the poller ask of it. */
export interface RouterLoadView extends LoadView {
  findReport(backendServer: string): LoadReport | null;
  /** Finds the figure of a server; the same object for as long as this view lives. */
  readRunningEstimate(backendServer: string): RunningEstimate;
  /** Tokens of the prompt expected in each server's cache; servers without any are left out. */
  findCachedTokens(prefixes: readonly string[]): ReadonlyMap<string, number>;
  /** Newest cache event taken of a server; 0 if none. */
  readCacheSequence(backendServer: string): number;
  /** Round trip to an availability zone from this VM, in milliseconds; 0 before any measure. */
  readZoneRoundTripMs(availabilityZone: string): number;
  recordZoneRoundTripMs(availabilityZone: string, roundTripMs: number): void;
  /** Notes that this VM begins an attempt there. */
  recordSend(backendServer: string, prefixes: readonly string[]): void;
  /** Notes that an attempt of this VM there ended, which had the slot for `holdMs`. */
  recordEnd(backendServer: string, holdMs: number): void;
  /** Notes that the server refused an attempt: it counts as full until a newer report. */
  recordServerFull(backendServer: string, slots: number): void;
  /** Grows whenever a report changes which work its server can take. */
  readReadinessEpoch(): number;
  /** Calls `listener` after each newer report, own end or news of peers' sends; the result stops that. */
  addListener(listener: (backendServer: string) => void): () => void;
}
