import { sum } from 'simple-statistics';
import { judgeCrashPresence } from '../judgeCrashPresence';
import type { CrashedServer } from '../types';

/** Ages differ by at most this part of them, or by this time, to count as the same. */
const TOLERANCE = 0.05;
const MIN_TOLERANCE_MS = 75;

const countNear = (agesMs: readonly number[], ageMs: number): number => {
  const toleranceMs = Math.max(MIN_TOLERANCE_MS, TOLERANCE * ageMs);
  return agesMs.filter((one) => Math.abs(one - ageMs) <= toleranceMs).length;
};

/**
 * Lists the servers that crashed when a run with a prompt part had the same age as on the other ones.
 *
 * Runs that crash their servers mostly do so at one point of their course; a sound run beside them may
 * have come any way. Runs without the part on the same servers show how often chance has that age.
 *
 * @param servers - crashed servers that ran the part
 * @param part - its fingerprint
 * @returns an empty list if chance explains the servers of any one age
 */
export const listServersOfCommonAge = (
  servers: readonly CrashedServer[],
  part: string,
): readonly CrashedServer[] => {
  const readAges = ({ agesMsByPart }: CrashedServer): readonly number[] =>
    agesMsByPart.get(part) ?? [];
  const listNear = (ageMs: number): readonly CrashedServer[] =>
    servers.filter((one) => countNear(readAges(one), ageMs) > 0);
  const candidates = servers
    .flatMap(readAges)
    .map((ageMs) => ({ ageMs, near: listNear(ageMs) }))
    .sort((left, right) => right.near.length - left.near.length);
  const [best] = candidates;
  if (!best) return [];
  const { ageMs, near } = best;
  const countOwn = (one: CrashedServer): number => readAges(one).length;
  const countOthersNear = (one: CrashedServer): number =>
    countNear(one.agesMs, ageMs) - countNear(readAges(one), ageMs);
  const others = sum(servers.map(({ runs }) => runs)) - sum(servers.map(countOwn));
  const isCommon = judgeCrashPresence({
    runsWith: near.map(countOwn),
    runsWithout: servers.filter((one) => !near.includes(one)).map(countOwn),
    share: (sum(servers.map(countOthersNear)) + 1) / (others + 2),
    comparisons: candidates.length,
  });
  return isCommon ? near : [];
};
