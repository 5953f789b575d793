import { countPrefillingRuns } from '../countPrefillingRuns';
import type { ServerReport } from '../types';

/** Speed of a service's engines as measured by this VM. */
export interface EnginePaces {
  /** Prefill time of one prompt token, in milliseconds; 0 while unknown. */
  readonly prefillMsPerToken: number;
  /** Time from the first event of a stream to its end; 0 while unknown. */
  readonly runMs: number;
}

/** Inputs of the prediction besides the server's report. */
export interface FirstEventOptions {
  readonly promptTokens: number;
  /** KV memory that the run needs until its end, in tokens. */
  readonly neededKvTokens: number;
  /** Prompt tokens known to have been sent to the server whose prefill has not finished. */
  readonly pendingPrefillTokens: number;
  readonly paces: EnginePaces;
  readonly latencyGoalMs: number;
}

/** Fraction of the current prefill that is finished, on average. */
const FINISHED_FRACTION = 0.5;

/**
 * Prefill time while the speed is unknown, as a fraction of the latency goal: longer than any that
 * was measured.
 */
const UNKNOWN_GOAL_FRACTION = 0.25;

/**
 * Predicts the time from sending a new prompt to a server until its first event.
 *
 * Prefill is sequential, so that the prompts ahead count in full. A run starts only when its KV
 * memory is free, for which other runs may have to end. Prompts of unknown length are taken to be
 * as long as the new one. Reports are some hundred milliseconds old: the prompts known to have been
 * sent are the lower bound.
 *
 * @returns milliseconds
 *
 * @example
 * // Two prompts of 8,000 tokens wait, at 8 tokens per millisecond.
 * predictFirstEventMs(
 *   { waiting: 2, running: 0, kvUsedTokens: 0, kvTotalTokens: 88_000, eventsByRun: new Map(), bornMs: null },
 *   { promptTokens: 8000, neededKvTokens: 9000, pendingPrefillTokens: 0, latencyGoalMs: 4500,
 *     paces: { prefillMsPerToken: 0.125, runMs: 6000 } },
 * ); // 3000
 */
export const predictFirstEventMs = (
  report: ServerReport,
  { latencyGoalMs, neededKvTokens, pendingPrefillTokens, paces, promptTokens }: FirstEventOptions,
): number => {
  const unknownMs = (latencyGoalMs * UNKNOWN_GOAL_FRACTION) / Math.max(1, promptTokens);
  const msPerToken = paces.prefillMsPerToken || unknownMs;
  // One of the runs in prefill is being processed; the others wait for it.
  const promptsAhead =
    report.waiting + Math.max(0, countPrefillingRuns(report) - FINISHED_FRACTION);
  const tokensAhead = Math.max(pendingPrefillTokens, promptsAhead * promptTokens);
  const prefillMs = (tokensAhead + promptTokens) * msPerToken;
  if (report.kvTotalTokens === 0) return prefillMs;
  const runsAhead = Math.max(promptsAhead, pendingPrefillTokens / Math.max(1, promptTokens));
  const wantedTokens = report.kvUsedTokens + (runsAhead + 1) * neededKvTokens;
  const missingTokens = Math.max(0, wantedTokens - report.kvTotalTokens);
  const neededEnds = missingTokens / Math.max(1, neededKvTokens);
  const runMs = paces.runMs || latencyGoalMs;
  // Runs are at different stages: of n runs, one ends every n-th of the mean run time.
  const memoryMs = (neededEnds * runMs) / Math.max(1, report.running);
  return Math.max(prefillMs, memoryMs + promptTokens * msPerToken);
};
