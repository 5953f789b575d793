import { computeTrialPauseMs } from '../computeTrialPauseMs';
import { countCrashedServers } from '../countCrashedServers';
import { countNeededCrashes } from '../countNeededCrashes';
import { findNewestMs } from '../findNewestMs';
import type { RunOutcome } from '../types';

/** Why a request must not be sent. */
export interface RequestVerdict {
  /** False if the servers may have been lost for another reason. */
  readonly isCertain: boolean;
  /** Servers that the request appears to have crashed. */
  readonly crashes: number;
  /** Time until it may be sent again; 0 if a trial is due. */
  readonly remainingMs: number;
  /** Least time between two trials; infinite if there is none. */
  readonly trialPauseMs: number;
}

/** Duration of a quarantine after its last crash; the request is tried again afterwards. */
const QUARANTINE_MS = 600_000;

/** Longest time that a request is held back after its last loss without being certain. */
const HOLD_MS = 30_000;

/** Least time between two trials: a stream may wait for seconds before its server begins to run it. */
const MIN_TRIAL_GAP_MS = 10_000;

const NEEDED = countNeededCrashes({ isPart: false, hasAnswer: false });

/**
 * Judges whether a request may be sent, by the servers that were lost under it.
 *
 * Servers that surely crashed, each for itself, put it into quarantine. If that many servers were
 * lost in any way, it is held back: a further one costs all that runs on it, a short pause costs
 * little. Trials after growing pauses find out whether the request is at fault.
 *
 * @param crashes - crashes under the request, confirmed or not, without an answer in between
 * @param nowMs - on the clock of the crashes
 * @returns null if it may be sent
 */
export const judgeRequestCrashes = (
  crashes: readonly RunOutcome[],
  nowMs: number,
): RequestVerdict | null => {
  const confirmed = crashes.filter(({ isConfirmed }) => isConfirmed);
  const count = countCrashedServers(confirmed);
  const quarantineEndMs = findNewestMs(confirmed) + QUARANTINE_MS;
  if (count >= NEEDED && nowMs < quarantineEndMs) {
    const remainingMs = quarantineEndMs - nowMs;
    return { isCertain: true, crashes: count, remainingMs, trialPauseMs: Infinity };
  }
  const lost = new Set(crashes.map(({ server }) => server)).size;
  const lastMs = findNewestMs(crashes);
  if (lost < NEEDED || nowMs >= lastMs + HOLD_MS) return null;
  const pauseMs = computeTrialPauseMs({ crashes: lost, neededCrashes: NEEDED });
  const remainingMs = Math.max(0, lastMs + Math.min(pauseMs, HOLD_MS) - nowMs);
  const trialPauseMs = Math.max(pauseMs, MIN_TRIAL_GAP_MS);
  return { isCertain: false, crashes: lost, remainingMs, trialPauseMs };
};
