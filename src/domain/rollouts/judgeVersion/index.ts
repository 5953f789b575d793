import { computeBinomialTail } from '../_lib/computeBinomialTail';
import { sumTallies } from '../sumTallies';
import type { RolloutTallies, RouteTally, VersionJudgement, VersionTally } from '../types';

/** Fewer poor answers are no evidence. */
const MIN_POOR = 3;

/** Tolerance for the established version's rate of poor answers, which is known only roughly. */
const TOLERATED_FACTOR = 1.5;
const TOLERATED_RATE = 0.02;

/** Significance level of each test; a version no worse than the established one rarely fails it. */
const FALSE_ALARM = 2e-4;

/** A bad version exceeds the established version's rate of poor answers by at least this much. */
const BAD_EXCESS_RATE = 0.25;

/** Probability at which a bad version may have as few poor answers as one that is called sound. */
const MISSED_ALARM = 0.005;

/** Requests that the new version needs on each route in use. */
const MIN_ROUTE_REQUESTS = 3;

/** Requests of the established version from which a route is in use, also as a fraction of all. */
const ROUTE_IN_USE_REQUESTS = 20;
const ROUTE_IN_USE_FRACTION = 0.05;

const MAX_RATE = 0.95;

const computePoorRate = ({ poor, requests }: VersionTally): number => (poor + 1) / (requests + 2);

const isWorse = ({ candidate, established }: RouteTally): boolean => {
  if (candidate.poor < MIN_POOR) return false;
  const rate = computePoorRate(established) * TOLERATED_FACTOR + TOLERATED_RATE;
  const chance = Math.min(MAX_RATE, rate);
  return computeBinomialTail(candidate.poor, candidate.requests, chance) < FALSE_ALARM;
};

/** Tells whether a bad version is unlikely to have so few poor answers. */
const isShownSound = ({ candidate, established }: RouteTally): boolean => {
  const chance = Math.min(MAX_RATE, computePoorRate(established) + BAD_EXCESS_RATE);
  const tail = computeBinomialTail(candidate.poor + 1, candidate.requests, chance);
  return 1 - tail < MISSED_ALARM;
};

const sumRoutes = (tallies: RolloutTallies): RouteTally =>
  [...sumTallies([...tallies.values()].map((one) => new Map([['', one]]))).values()][0] ?? {
    established: { requests: 0, poor: 0 },
    candidate: { requests: 0, poor: 0 },
  };

/**
 * Judges a new version by comparing its answers with those of the established one over the same
 * time.
 *
 * Failures that affect both versions (overload, lost servers, a slow network) show in both tallies
 * and are no evidence. A version may be bad on one route only, so that each route is judged by
 * itself as well.
 *
 * @returns `bad` with the route (empty: all routes together), `sound`, or why neither is certain
 */
export const judgeVersion = (tallies: RolloutTallies): VersionJudgement => {
  const total = sumRoutes(tallies);
  const worse = [...tallies].find(([, tally]) => isWorse(tally));
  if (worse || isWorse(total)) {
    const [route, { candidate, established }] = worse ?? ['', total];
    const reason = `${candidate.poor} of ${candidate.requests} poor, established ${established.poor} of ${established.requests}`;
    return { kind: 'bad', route, reason };
  }
  const minRequestsInUse = Math.max(
    ROUTE_IN_USE_REQUESTS,
    total.established.requests * ROUTE_IN_USE_FRACTION,
  );
  const untriedRoute = [...tallies].find(
    ([, { candidate, established }]) =>
      established.requests >= minRequestsInUse && candidate.requests < MIN_ROUTE_REQUESTS,
  );
  if (untriedRoute) return { kind: 'unknown', reason: `route ${untriedRoute[0]} was hardly tried` };
  if (!isShownSound(total)) return { kind: 'unknown', reason: 'too few answers' };
  return { kind: 'sound' };
};
