import { countPrefillingRuns } from '../countPrefillingRuns';
import type { ServerReport } from '../types';

/** Paces of a service's engines, as this VM saw them. */
export interface EnginePaces {
  /** Milliseconds that one token of a prompt takes to be read; 0 while none was seen. */
  readonly prefillMsPerToken: number;
  /** Time from a stream's first event to its end; 0 while none was seen. */
  readonly runMs: number;
}

/** What is known beside the server's report. */
export interface FirstEventOptions {
  readonly promptTokens: number;
  /** Tokens of KV memory that the run takes until its end. */
  readonly neededKvTokens: number;
  /** Prompt tokens that are known to have been sent there and are still to be read. */
  readonly pendingPrefillTokens: number;
  readonly paces: EnginePaces;
  readonly latencyGoalMs: number;
}

/** Part of the prompt that is being read which is read already, on average. */
const READ_PART = 0.5;

/** Part of the latency goal that a prompt takes while no pace is known: slower than any seen. */
const UNKNOWN_READ_PART = 0.25;

/**
 * Predicts how long a new prompt takes to its first event at a server.
 *
 * Prompts are read one after the other, so that those ahead count whole; and a run begins only when
 * its memory is there, for which others have to end. Prompts ahead are taken to be as long as the
 * new one where nothing else is known. A report is late by some hundred milliseconds: what is known
 * to have been sent counts at least.
 *
 * @returns milliseconds
 *
 * @example
 * // Two prompts of 8,000 tokens wait, at 8 tokens a millisecond.
 * predictFirstEvent(
 *   { waiting: 2, running: 0, kvUsedTokens: 0, kvTotalTokens: 88_000, eventsByRun: new Map(), bornMs: null },
 *   { promptTokens: 8000, neededTokens: 9000, unreadTokens: 0, latencyGoalMs: 4500,
 *     paces: { readingMsPerToken: 0.125, runMs: 6000 } },
 * ); // 3000
 */
export const predictFirstEventMs = (
  report: ServerReport,
  { latencyGoalMs, neededKvTokens, pendingPrefillTokens, paces, promptTokens }: FirstEventOptions,
): number => {
  const unknownMs = (latencyGoalMs * UNKNOWN_READ_PART) / Math.max(1, promptTokens);
  const msPerToken = paces.prefillMsPerToken || unknownMs;
  // One of those that are not listed yet is being read; the others wait for it.
  const ahead = report.waiting + Math.max(0, countPrefillingRuns(report) - READ_PART);
  const aheadTokens = Math.max(pendingPrefillTokens, ahead * promptTokens);
  const readingMs = (aheadTokens + promptTokens) * msPerToken;
  if (report.kvTotalTokens === 0) return readingMs;
  const aheadRuns = Math.max(ahead, pendingPrefillTokens / Math.max(1, promptTokens));
  const wantedTokens = report.kvUsedTokens + (aheadRuns + 1) * neededKvTokens;
  const lackedTokens = Math.max(0, wantedTokens - report.kvTotalTokens);
  const endsNeeded = lackedTokens / Math.max(1, neededKvTokens);
  const runMs = paces.runMs || latencyGoalMs;
  // Runs are spread over their time: one of n ends each n-th part of it.
  const memoryMs = (endsNeeded * runMs) / Math.max(1, report.running);
  return Math.max(readingMs, memoryMs + promptTokens * msPerToken);
};
