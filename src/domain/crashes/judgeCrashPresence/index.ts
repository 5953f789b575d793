/** On which of the servers that crashed a prompt part was run. */
export interface CrashPresence {
  /** For each crashed server that ran the part: all runs that it lost. */
  readonly runsWith: readonly number[];
  /** The same for those that did not. */
  readonly runsWithout: readonly number[];
  /** Share of the part in all runs, from 0 to 1. */
  readonly share: number;
  /** Number of such comparisons of which this one was chosen as the strongest; 1 by default. */
  readonly comparisons?: number;
}

/** Evidence that one comparison needs, as the logarithm of a likelihood ratio. */
const NEEDED_EVIDENCE = Math.log(200);

/** Logarithm of the likelihood of a number of hits and misses. */
const computeLogLikelihood = (hits: number, misses: number, chance: number): number =>
  (hits > 0 ? hits * Math.log(chance) : 0) + (misses > 0 ? misses * Math.log(1 - chance) : 0);

/**
 * Judges whether a prompt part was run on more of the crashed servers than chance explains.
 *
 * A common part runs on most servers, and so on most of those that crash by themselves. A generalized
 * likelihood ratio test of how many crashed servers ran the part, against the chance that as many
 * runs as they had include it.
 *
 * @example
 * judgeCrashPresence({ runsWith: [2, 2, 2, 2], runsWithout: [], share: 0.1 }); // => true
 */
export const judgeCrashPresence = ({
  comparisons = 1,
  runsWith,
  runsWithout,
  share,
}: CrashPresence): boolean => {
  const servers = [...runsWith, ...runsWithout];
  if (runsWith.length === 0) return false;
  const chances = servers.map((runs) => 1 - (1 - share) ** Math.max(1, runs));
  const chance = chances.reduce((sum, one) => sum + one, 0) / servers.length;
  const presence = runsWith.length / servers.length;
  if (presence <= chance) return false;
  const [hits, misses] = [runsWith.length, runsWithout.length];
  const evidence =
    computeLogLikelihood(hits, misses, presence) - computeLogLikelihood(hits, misses, chance);
  return evidence >= NEEDED_EVIDENCE + Math.log(comparisons);
};
