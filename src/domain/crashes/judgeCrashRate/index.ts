/** Runs with a prompt part, and those without it in the same time. */
export interface CrashRateEvidence {
  /** Servers that crashed under runs with the part. */
  readonly crashes: number;
  /** Runs with the part that outlasted those that crashed. */
  readonly answers: number;
  /** Runs without the part whose servers crashed. */
  readonly otherCrashes: number;
  /** Complete runs without the part. */
  readonly otherAnswers: number;
}

/** Options of the judgement. */
export interface CrashRateOptions {
  /** True if the part is held responsible already, which takes less evidence than to begin with. */
  readonly isHeld: boolean;
}

/**
 * Evidence from which on a part is held responsible, as the logarithm of a likelihood ratio: parts
 * are compared with chance after each of their runs, many at a time.
 */
const NEEDED_EVIDENCE = Math.log(10_000);

/** Evidence down to which a part is still held responsible. */
const HELD_EVIDENCE = Math.log(10);

/** Runs without a part that are needed to find that it is not responsible after all. */
const NEEDED_OTHERS = 20;

/** Least share of runs whose server is lost by chance that is taken for possible. */
const MIN_CHANCE = 0.005;

/** Crash in five runs that is assumed before anything else is known of the servers. */
const ASSUMED_CRASHES = 1;
const ASSUMED_RUNS = 5;

/** Further runs say nothing new, and would hide that servers have become worse meanwhile. */
const MAX_OTHER_ANSWERS = 300;

/** Logarithm of the likelihood of the outcomes if runs crash servers with this chance. */
const computeLogLikelihood = (
  { answers, crashes }: Pick<CrashRateEvidence, 'answers' | 'crashes'>,
  chance: number,
): number =>
  (crashes > 0 ? crashes * Math.log(chance) : 0) +
  (answers > 0 ? answers * Math.log(1 - chance) : 0);

/**
 * Judges whether servers crash under runs with a prompt part more often than chance explains.
 *
 * A generalized likelihood ratio test of the part's own share of crashes against the share among
 * runs without it. Without such runs to compare, servers are assumed to be unreliable.
 *
 * @example
 * judgeCrashRate({ crashes: 5, answers: 5, otherCrashes: 0, otherAnswers: 60 }); // => true
 */
export const judgeCrashRate = (
  { answers, crashes, otherAnswers, otherCrashes }: CrashRateEvidence,
  { isHeld }: CrashRateOptions = { isHeld: false },
): boolean => {
  const runs = crashes + answers;
  if (runs === 0) return false;
  const others = Math.min(otherAnswers, MAX_OTHER_ANSWERS) + otherCrashes;
  if (isHeld && others < NEEDED_OTHERS) return true;
  const chance = (otherCrashes + ASSUMED_CRASHES) / (others + ASSUMED_RUNS);
  const chanceAlone = Math.max(MIN_CHANCE, chance);
  const share = crashes / runs;
  if (share <= chanceAlone) return false;
  const outcomes = { answers, crashes };
  const evidence =
    computeLogLikelihood(outcomes, share) - computeLogLikelihood(outcomes, chanceAlone);
  return evidence >= (isHeld ? HELD_EVIDENCE : NEEDED_EVIDENCE);
};
