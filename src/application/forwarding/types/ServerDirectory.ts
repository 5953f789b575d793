import type { ServerEntry, ServerLoad, ServerStatus } from '../../../domain/forwarding';
import type { SharedRow } from '../../ports';
import type { RowsOrigin } from '../../rows';
import type { ServerWork, ServerWorkOptions } from '../_lib/startServerWork';
import type { SuspicionCause } from './SuspicionCause';

/** Knows the backend servers, and what this VM has at each. */
export interface ServerDirectory {
  applyRows(rows: readonly SharedRow[], info: RowsOrigin): void;
  /** Servers of a service that may take new work. */
  listServing(service: string): readonly ServerStatus[];
  /** A server that may take new work; null if it is leaving or gone. */
  findServing(id: string): ServerEntry | null;
  /** True: it is there, stays, and did not fail lately. */
  isHealthy(id: string): boolean;
  startWork(id: string, options: ServerWorkOptions): ServerWork;
  /** Prompt tokens that are known to have been sent to a server and are still to be read. */
  countPendingPrefillTokens(id: string): number;
  /** Another VM sent a prompt there. */
  recordPeerPrompt(id: string, tokens: number): void;
  /** Counts a copy of a run's memory that a server holds; the returned function ends it. */
  addCopy(id: string): () => void;
  recordLoad(id: string, load: ServerLoad): void;
  /** The server said in an answer that it takes no new work. */
  recordLeaving(id: string): void;
  /** The server said for how long it wants no request of this VM. */
  recordPause(id: string, pauseMs: number): void;
  /** Its rate limit leaves nothing to this VM for so long: it is not listed meanwhile. */
  recordRateLimited(id: string, waitMs: number): void;
  isRateLimited(id: string): boolean;
  /**
   * Time until the first server of a service that paused, or reached its limit, takes work; 0 if
   * none did.
   */
  readShortestPauseMs(service: string): number;
  recordSuspicion(id: string, cause: SuspicionCause): void;
  /** The server answered a request under its id. */
  recordSuccess(id: string): void;
  /** The server gave a sign of life under its id: also while it fails requests. */
  recordAlive(id: string): void;
  /** Another server has its address now; `successorId` is null where that did not say its id. */
  recordReplaced(id: string, successorId: string | null): void;
  /** True: this incarnation (`formatIncarnation`) answered this VM after that time. */
  hasAnsweredSince(incarnation: string, atMs: number): boolean;
  /** The server said when it was born; null if it did not. */
  recordStartTime(id: string, bornMs: number | null): void;
  /** Takes a server that another VM met. */
  addInferred(entry: ServerEntry): void;
  /**
   * Servers whose ids are to be asked for: who is at the address of one that failed just now, and
   * is one without an entry still there?
   */
  listUnverified(): readonly ServerEntry[];
  /** Servers without an entry; those that have not answered for long are forgotten first. */
  pruneInferred(): number;
  countServing(): number;
}
