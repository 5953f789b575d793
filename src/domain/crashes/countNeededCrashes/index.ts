/** Crashes in a row that make their cause in the request certain enough. Two may be a coincidence. */
const CRASHES = 3;

/**
 * The same for a prompt part with which servers have both crashed and answered: it is common, or the
 * servers are unreliable.
 */
const CRASHES_OF_MIXED_PART = 5;

/**
 * Counts the crashes without an answer in between from which on a request or a part is held
 * responsible.
 *
 * @param options.isPart - whether the crashes are those of all requests with a prompt part
 * @param options.hasAnswer - whether a server has answered since the first suspicion
 */
export const countNeededCrashes = ({
  hasAnswer,
  isPart,
}: {
  readonly hasAnswer: boolean;
  readonly isPart: boolean;
}): number => (isPart && hasAnswer ? CRASHES_OF_MIXED_PART : CRASHES);
