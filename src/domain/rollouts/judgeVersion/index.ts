import { computeBinomialTail } from '../_lib/computeBinomialTail';
import { sumTallies } from '../sumTallies';
import type { RolloutTallies, RouteTally, VersionJudgement, VersionTally } from '../types';

/** Fewer poor answers are no pattern. */
const MIN_POOR = 3;

/** The established version's part of poor answers is known roughly: up to this much more is its. */
const TOLERATED_FACTOR = 1.5;
const TOLERATED_PART = 0.02;

/** Chance at which a version no worse than the established one is taken for bad, for each look. */
const FALSE_ALARM = 2e-4;

/** A bad version has at least this much more of poor answers. */
const BAD_PART = 0.25;

/** Chance at which such a version would have shown as few poor answers. */
const MISSED = 0.005;

/** Answers of the new version on each route in use, and how many requests make a route one. */
const MIN_ROUTE_REQUESTS = 3;
const ROUTE_IN_USE_REQUESTS = 20;
const ROUTE_IN_USE_PART = 0.05;

const MAX_PART = 0.95;

const computePoorPart = ({ poor, requests }: VersionTally): number => (poor + 1) / (requests + 2);

const isWorse = ({ candidate, established }: RouteTally): boolean => {
  if (candidate.poor < MIN_POOR) return false;
  const part = computePoorPart(established) * TOLERATED_FACTOR + TOLERATED_PART;
  const chance = Math.min(MAX_PART, part);
  return computeBinomialTail(candidate.poor, candidate.requests, chance) < FALSE_ALARM;
};

/** True: a bad version would hardly have answered so well. */
const isShownSound = ({ candidate, established }: RouteTally): boolean => {
  const chance = Math.min(MAX_PART, computePoorPart(established) + BAD_PART);
  const tail = computeBinomialTail(candidate.poor + 1, candidate.requests, chance);
  return 1 - tail < MISSED;
};

const sumRoutes = (tallies: RolloutTallies): RouteTally =>
  [...sumTallies([...tallies.values()].map((one) => new Map([['', one]]))).values()][0] ?? {
    established: { requests: 0, poor: 0 },
    candidate: { requests: 0, poor: 0 },
  };

/**
 * Judges a new version by how requests fared at it and at the established one over the same time.
 *
 * What harms both versions alike (overload, lost servers, a slow network) shows in both tallies and
 * is no evidence. A version may be bad on one route only, so that each is judged by itself as well.
 *
 * @returns `bad` with the route (empty: over all), `sound`, or why neither can be said yet
 */
export const judgeVersion = (tallies: RolloutTallies): VersionJudgement => {
  const total = sumRoutes(tallies);
  const worse = [...tallies].find(([, tally]) => isWorse(tally));
  if (worse || isWorse(total)) {
    const [route, { candidate, established }] = worse ?? ['', total];
    const reason = `${candidate.poor} of ${candidate.requests} poor, established ${established.poor} of ${established.requests}`;
    return { kind: 'bad', route, reason };
  }
  const leastInUse = Math.max(
    ROUTE_IN_USE_REQUESTS,
    total.established.requests * ROUTE_IN_USE_PART,
  );
  const unseen = [...tallies].find(
    ([, { candidate, established }]) =>
      established.requests >= leastInUse && candidate.requests < MIN_ROUTE_REQUESTS,
  );
  if (unseen) return { kind: 'unknown', reason: `route ${unseen[0]} was hardly tried` };
  if (!isShownSound(total)) return { kind: 'unknown', reason: 'too few answers' };
  return { kind: 'sound' };
};
