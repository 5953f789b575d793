import type { ServerEntry, ServerLoad, ServerStatus } from '../../../domain/forwarding';
import type { SharedRow } from '../../ports';
import type { RowsOrigin } from '../../rows';
import type { ServerWork, ServerWorkOptions } from '../_lib/startServerWork';
import type { SuspicionCause } from './SuspicionCause';

/** The known backend servers, their health and the work that this VM has at each. */
export interface ServerDirectory {
  applyRows(rows: readonly SharedRow[], info: RowsOrigin): void;
  /** Lists the servers of a service that accept new work. */
  listServing(service: string): readonly ServerStatus[];
  /** Lists the servers of all services that have not left, also those that are paused. */
  listEntries(): readonly ServerEntry[];
  /** Reads the slots of a server, and this VM's requests there; null if it is unknown. */
  readLoad(id: string): { readonly slots: number; readonly running: number } | null;
  /** Finds a known server, also one that accepts no new work; null if it is unknown. */
  findEntry(id: string): ServerEntry | null;
  /** Finds a server that accepts new work; null if it is leaving, paused or gone. */
  findServing(id: string): ServerEntry | null;
  /** True if the server accepts new work and is not suspected to have failed. */
  isHealthy(id: string): boolean;
  startWork(id: string, options: ServerWorkOptions): ServerWork;
  /** Counts the prompt tokens that are known to be sent to a server and not yet processed. */
  countPendingPrefillTokens(id: string): number;
  /** Records a prompt that another VM sent to a server. */
  recordPeerPrompt(id: string, tokens: number): void;
  /** Counts a KV cache copy that a server holds; the returned function stops counting it. */
  addCopy(id: string): () => void;
  recordLoad(id: string, load: ServerLoad): void;
  /** Records that a server announced in a response that it accepts no new work. */
  recordLeaving(id: string): void;
  /** Records that a server asked this VM to pause its requests. */
  recordPause(id: string, pauseMs: number): void;
  /** Records that a server refused a request for want of room. */
  recordFull(id: string): void;
  /** Records that a server's rate limit leaves no permit to this VM. It is not listed meanwhile. */
  recordRateLimited(id: string, waitMs: number): void;
  isRateLimited(id: string): boolean;
  /**
   * Time until the first paused or rate-limited server of a service accepts work; 0 if there is
   * none.
   */
  readShortestPauseMs(service: string): number;
  /**
   * Records that a server failed.
   *
   * @param ageMs - time since it did, in milliseconds; 0 by default
   */
  recordSuspicion(id: string, cause: SuspicionCause, ageMs?: number): void;
  /**
   * Records that a server answered a request under its own id.
   *
   * @param sentSinceMs - earliest time at which it can have sent the answer, in monotonic ms
   */
  recordSuccess(id: string, sentSinceMs: number): void;
  /** Records that another VM reaches a server, which ends the suspicions of this one. */
  recordReachable(id: string): void;
  /**
   * Records a sign of life under the server's own id, which includes failed requests.
   *
   * @param sentSinceMs - earliest time at which it can have been sent, in monotonic ms
   */
  recordAlive(id: string, sentSinceMs: number): void;
  /**
   * Records that another server answers at this server's address.
   *
   * @param successorId - null if that server did not state its id
   * @param sentSinceMs - earliest time at which it can have sent its answer, in monotonic ms
   */
  recordReplaced(id: string, successorId: string | null, sentSinceMs: number): void;
  /** True if this incarnation (see `formatIncarnation`) answered this VM after that time. */
  hasAnsweredSince(incarnation: string, atMs: number): boolean;
  /** Records the start time that a server stated; null if it stated none. */
  recordStartTime(id: string, bornMs: number | null): void;
  /** Adds a server that another VM discovered. */
  addInferred(entry: ServerEntry): void;
  /**
   * Lists the servers whose id needs to be checked: recently failed servers, whose address may have
   * another server now, and servers without an entry, which may be gone.
   */
  listUnverified(): readonly ServerEntry[];
  /**
   * Forgets servers without an entry that have not answered for long, and returns how many are
   * left.
   */
  pruneInferred(): number;
  countServing(): number;
}
