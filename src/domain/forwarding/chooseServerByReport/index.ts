import type { RelativePace } from '../../paces';
import { countPrefillingRuns } from '../countPrefillingRuns';
import type { ServerEntry, ServerReport } from '../types';

/** A server with its latest report. */
export interface ReportedServer {
  readonly entry: ServerEntry;
  readonly report: ServerReport;
  /** Runs whose KV cache is, as far as this VM knows, copied to the server. */
  readonly copies: number;
  /** Prompt tokens known to have been sent to the server whose prefill has not finished. */
  readonly pendingPrefillTokens: number;
}

/**
 * Weight of a running request, in waiting prompts. Prefill is sequential, so that a request that
 * generates delays a new prompt far less than a waiting one does.
 */
const RUNNING_WEIGHT = 0.08;

/** Weight of a run in prefill, in waiting prompts. */
const PREFILL_WEIGHT = 0.7;

/** Weight of a KV cache copy, in waiting prompts. */
const COPY_WEIGHT = 0.03;

/** Bonus of the preferred availability zone, in waiting prompts. */
const ZONE_BONUS = 0.15;

/** Highest KV memory use including the new request; above it, engines preempt runs. */
const MAX_MEMORY_FRACTION = 0.85;

/** Penalty of a server without enough KV memory, in waiting prompts. */
const FULL_PENALTY = 4;

/** Needs of the new request and the preferred availability zone. */
export interface ServerByReportOptions {
  /** KV memory that the request needs until its end, in tokens. */
  readonly neededKvTokens: number;
  readonly promptTokens: number;
  readonly preferredZone: string | null;
  /** Reads the pace of a server; null if the servers are equally fast. */
  readonly readPace?: ((server: ServerEntry) => RelativePace) | null;
}

const computeWaitingPrompts = (
  { copies, entry, report, pendingPrefillTokens }: ReportedServer,
  { neededKvTokens, preferredZone, promptTokens }: ServerByReportOptions,
): number => {
  // Prompts that were sent just now are missing from the report.
  const promptsAhead = Math.max(
    report.waiting + countPrefillingRuns(report) * PREFILL_WEIGHT,
    pendingPrefillTokens / Math.max(1, promptTokens),
  );
  const isFull =
    report.kvTotalTokens > 0 &&
    report.kvUsedTokens + neededKvTokens > report.kvTotalTokens * MAX_MEMORY_FRACTION;
  return (
    promptsAhead +
    report.running * RUNNING_WEIGHT +
    copies * COPY_WEIGHT +
    (isFull ? FULL_PENALTY : 0) +
    (entry.warmupLeftMs > 0 ? 1 : 0) -
    (entry.availabilityZone === preferredZone ? ZONE_BONUS : 0)
  );
};

/** The new prompt itself takes longer on a slow server, as do those before it. */
const computeLoad = (server: ReportedServer, options: ServerByReportOptions): number => {
  const waitingPrompts = computeWaitingPrompts(server, options);
  if (!options.readPace) return waitingPrompts;
  return (waitingPrompts + 1) * options.readPace(server.entry).slowness;
};

/**
 * Chooses the server that is expected to start a new prompt first, from the servers' reports.
 *
 * @returns the chosen server; null if there are none
 */
export const chooseServerByReport = (
  servers: readonly ReportedServer[],
  options: ServerByReportOptions,
): ReportedServer | null =>
  servers.reduce<ReportedServer | null>(
    (best, server) =>
      best && computeLoad(best, options) <= computeLoad(server, options) ? best : server,
    null,
  );
