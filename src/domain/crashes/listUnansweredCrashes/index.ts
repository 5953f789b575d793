import { findNewestMs } from '../findNewestMs';
import { isPartFingerprint } from '../isPartFingerprint';
import type { RunOutcome } from '../types';

/**
 * Lists the crashes that no later answer refutes.
 *
 * Any answer refutes the crashes of a request. One to a request with a prompt part refutes only the
 * crashes of runs that it has outlasted: until then it may end in the same way.
 *
 * @param outcomes - outcomes of one fingerprint, in any order
 * @returns crashes in the given order
 */
export const listUnansweredCrashes = (outcomes: readonly RunOutcome[]): readonly RunOutcome[] => {
  const answers = outcomes.filter(({ hasCrashed }) => !hasCrashed);
  const isUnanswered = (crash: RunOutcome): boolean => {
    const refuting = isPartFingerprint(crash.fingerprint)
      ? answers.filter(({ ranMs }) => ranMs > crash.ranMs)
      : answers;
    return crash.atMs > findNewestMs(refuting);
  };
  return outcomes.filter((outcome) => outcome.hasCrashed && isUnanswered(outcome));
};
