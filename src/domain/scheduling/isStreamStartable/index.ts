import { REPEATABLE_FRACTION } from '../computeMaxWaitMs';
import { computeRunMs } from '../computeRunMs';
import { isServerAllowed } from '../isServerAllowed';
import { isServerOpen } from '../isServerOpen';
import type { ScheduledServer, StreamDemand } from '../types';

/** What a server is asked to run. */
export type StartDemand = Pick<
  StreamDemand,
  'excludedServers' | 'leftMs' | 'outputTokens' | 'promptTokens' | 'versions'
>;

/** Time of a run, as a fraction of the time left, if the stream would miss its goal otherwise. */
const LAST_CHANCE_FRACTION = 0.75;

/** Conditions of the start. */
export interface StartOptions {
  /** Time from the call to the first event that callers accept. */
  readonly goalMs: number;
  /** Whether the stream misses its goal unless it begins now. */
  readonly isLastChance: boolean;
}

/**
 * Checks whether a server can begin a stream now and end it in time.
 *
 * A stream that is cut short by the loss of its server is repeated, so that a run may take half of
 * the time left. A stream that would miss its goal otherwise may take more, and an idle server takes
 * any stream that has time to end.
 */
export const isStreamStartable = (
  server: ScheduledServer,
  demand: StartDemand,
  { goalMs, isLastChance }: StartOptions,
): boolean => {
  if (!isServerOpen(server) || !isServerAllowed(server, demand)) return false;
  const neededKvTokens = demand.promptTokens + demand.outputTokens;
  if (server.kvTotalTokens > 0 && server.kvUsedTokens + neededKvTokens > server.kvTotalTokens)
    return false;
  const { outputTokens, promptTokens } = demand;
  const { runMs } = computeRunMs(server.pace, {
    outputTokens,
    promptTokens,
    runs: server.runs + 1,
    goalMs,
  });
  if (server.runs === 0) return runMs <= demand.leftMs;
  return runMs <= demand.leftMs * (isLastChance ? LAST_CHANCE_FRACTION : REPEATABLE_FRACTION);
};
