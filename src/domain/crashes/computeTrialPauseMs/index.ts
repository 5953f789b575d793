const FIRST_PAUSE_MS = 1000;
const FACTOR = 4;

/** The last trial follows after this many crashes; each one that fails adds a crash. */
const MAX_CRASHES_BEFORE_TRIAL = 4;

/**
 * Computes how long after the last crash one request of a responsible part may be sent as a trial.
 *
 * The first trials follow soon, as a part may be held responsible wrongly. Later ones are spread
 * out, and end: each one that fails crashes another server.
 *
 * @param crashes - crashes under the part without an answer in between
 * @returns the pause in milliseconds; infinite if there is no further trial
 *
 * @example
 * computeTrialPauseMs({ crashes: 4, neededCrashes: 3 }); // => 4000
 */
export const computeTrialPauseMs = ({
  crashes,
  neededCrashes,
}: {
  readonly crashes: number;
  readonly neededCrashes: number;
}): number =>
  crashes > MAX_CRASHES_BEFORE_TRIAL
    ? Infinity
    : FIRST_PAUSE_MS * FACTOR ** Math.max(0, crashes - neededCrashes);
