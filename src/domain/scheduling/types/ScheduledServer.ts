import type { ServerPace } from '../../paces';

/** A server as the scheduler sees it now: its last report, and what happened since. */
export interface ScheduledServer {
  readonly id: string;
  readonly availabilityZone: string;
  readonly version: string;
  /** Requests that the server runs at the same time. */
  readonly slots: number;
  /** False while the server is suspected to have failed, or before its first report. */
  readonly isUsable: boolean;
  /** Runs and waiting requests, including those granted since the report. */
  readonly runs: number;
  /** KV memory in use or promised, including copies, in tokens. */
  readonly kvUsedTokens: number;
  /** Size of the KV memory in tokens; 0 if unknown. */
  readonly kvTotalTokens: number;
  /** Time until the prefills ahead of a new prompt end, in milliseconds. */
  readonly pendingPrefillMs: number;
  readonly pace: ServerPace;
}
