import { binomialDistribution, cumulativeStdNormalProbability } from 'simple-statistics';

/** Above this, the normal approximation is accurate and the exact sum is slow. */
const MAX_EXACT_TRIALS = 400;

/**
 * Computes the probability of at least `successes` successes in independent trials.
 *
 * @param successes - number of successes
 * @param trials - number of trials
 * @param chance - probability of success of each trial, above 0 and below 1
 */
export const computeBinomialTail = (successes: number, trials: number, chance: number): number => {
  if (successes <= 0) return 1;
  if (successes > trials) return 0;
  if (trials > MAX_EXACT_TRIALS) {
    const deviation = Math.sqrt(trials * chance * (1 - chance));
    return 1 - cumulativeStdNormalProbability((successes - 0.5 - trials * chance) / deviation);
  }
  const below = binomialDistribution(trials, chance)?.slice(0, successes) ?? [];
  return Math.max(0, 1 - below.reduce((sum, one) => sum + one, 0));
};
