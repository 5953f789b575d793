import type { RolloutTallies, RouteTally, VersionTally } from '../types';

const EMPTY: VersionTally = { requests: 0, poor: 0 };

const add = (left: VersionTally, right: VersionTally): VersionTally => ({
  requests: left.requests + right.requests,
  poor: left.poor + right.poor,
});

/**
 * Sums up the tallies of several VMs for each route.
 *
 * @example
 * sumTallies([new Map([['r', tally]]), new Map([['r', tally]])]); // twice the tally of 'r'
 */
export const sumTallies = (all: readonly RolloutTallies[]): RolloutTallies => {
  const sums = new Map<string, RouteTally>();
  all.forEach((tallies) =>
    tallies.forEach(({ candidate, established }, route) => {
      const sum = sums.get(route) ?? { established: EMPTY, candidate: EMPTY };
      sums.set(route, {
        established: add(sum.established, established),
        candidate: add(sum.candidate, candidate),
      });
    }),
  );
  return sums;
};
