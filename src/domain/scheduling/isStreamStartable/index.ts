import { computeRunMs } from '../computeRunMs';
import { isServerAllowed } from '../isServerAllowed';
import type { ScheduledServer, StreamDemand } from '../types';

/** What a server is asked to run. */
export type StartDemand = Pick<
  StreamDemand,
  'excludedServers' | 'leftMs' | 'outputTokens' | 'promptTokens' | 'versions'
>;

/** Prefills ahead that end within this time do not delay the stream: it is on its way meanwhile. */
const MAX_PENDING_PREFILL_MS = 100;

/** Time of a run, as a fraction of the time left, after which a lost run can still be repeated. */
const MAX_RUN_FRACTION = 0.5;

/**
 * Checks whether a server can begin a stream now and end it in time.
 *
 * A stream that is cut short by the loss of its server is repeated, so that a run may take half of
 * the time left. An idle server also takes a stream that has time for one run only.
 *
 * @param goalMs - time from the call to the first event that callers accept
 */
export const isStreamStartable = (
  server: ScheduledServer,
  demand: StartDemand,
  goalMs: number,
): boolean => {
  if (server.runs >= server.slots || server.pendingPrefillMs > MAX_PENDING_PREFILL_MS) return false;
  if (!isServerAllowed(server, demand)) return false;
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
  return runMs <= demand.leftMs * (server.runs === 0 ? 1 : MAX_RUN_FRACTION);
};
