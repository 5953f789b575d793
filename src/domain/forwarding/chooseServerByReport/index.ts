import { countPrefillingRuns } from '../countPrefillingRuns';
import type { ServerEntry, ServerReport } from '../types';

/** A server with what it said of itself just now. */
export interface ReportedServer {
  readonly entry: ServerEntry;
  readonly report: ServerReport;
  /** Runs whose memory this VM knows to be copied there. */
  readonly copies: number;
  /** Prompt tokens that are known to have been sent there and are still to be read. */
  readonly pendingPrefillTokens: number;
}

/** Prompts are read one after the other: a running request delays a new one far less. */
const RUNNING_WEIGHT = 0.08;

/** A run that is not listed yet reads its prompt. */
const READING_WEIGHT = 0.7;

const COPY_WEIGHT = 0.03;

/** Bonus of the preferred zone, in prompts that wait. */
const ZONE_BONUS = 0.15;

/** Part of the KV memory that may be in use with the new request; past it, runs are preempted. */
const MEMORY_PART = 0.85;

/** Weight of memory that is not there, in prompts that wait. */
const FULL_WEIGHT = 4;

/** What the new request needs: its prompt, and KV memory until its end. */
export interface ServerByReportOptions {
  readonly neededKvTokens: number;
  readonly promptTokens: number;
  readonly preferredZone: string | null;
}

const computeLoad = (
  { copies, entry, report, pendingPrefillTokens }: ReportedServer,
  { neededKvTokens, preferredZone, promptTokens }: ServerByReportOptions,
): number => {
  // What was sent a moment ago is in no report yet.
  const ahead = Math.max(
    report.waiting + countPrefillingRuns(report) * READING_WEIGHT,
    pendingPrefillTokens / Math.max(1, promptTokens),
  );
  const isFull =
    report.kvTotalTokens > 0 &&
    report.kvUsedTokens + neededKvTokens > report.kvTotalTokens * MEMORY_PART;
  return (
    ahead +
    report.running * RUNNING_WEIGHT +
    copies * COPY_WEIGHT +
    (isFull ? FULL_WEIGHT : 0) +
    (entry.warmupLeftMs > 0 ? 1 : 0) -
    (entry.availabilityZone === preferredZone ? ZONE_BONUS : 0)
  );
};

/** Chooses the server that begins with a new prompt first, by what the servers just said. */
export const chooseServerByReport = (
  servers: readonly ReportedServer[],
  options: ServerByReportOptions,
): ReportedServer | null =>
  servers.reduce<ReportedServer | null>(
    (best, server) =>
      best && computeLoad(best, options) <= computeLoad(server, options) ? best : server,
    null,
  );
