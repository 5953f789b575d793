import type { RunOutcome } from '../types';

/** Servers that end within this time of each other, under different requests, ended for one reason. */
const SAME_FAULT_MS = 250;

/** Splits crashes, the oldest first, into groups that begin at most `SAME_FAULT_MS` before they end. */
const splitByFault = (crashes: readonly RunOutcome[]): RunOutcome[][] => {
  const groups: RunOutcome[][] = [];
  crashes.forEach((crash) => {
    const group = groups.at(-1);
    const firstMs = group?.[0]?.atMs ?? -Infinity;
    if (group && crash.atMs - firstMs <= SAME_FAULT_MS) group.push(crash);
    else groups.push([crash]);
  });
  return groups;
};

/** One request runs at one server after the other: each of its crashes counts. */
const countOfOneFault = (crashes: readonly RunOutcome[]): number => {
  const byRequest = new Map<string, number>();
  crashes.forEach(({ requestId }) => byRequest.set(requestId, (byRequest.get(requestId) ?? 0) + 1));
  return Math.max(0, ...byRequest.values());
};

/**
 * Counts the servers that a request ended, as far as the crashes under it say.
 *
 * Each server counts once. Repetitions that ran side by side when a rack was lost count as one crash.
 *
 * @param outcomes - outcomes of one fingerprint, in any order; those that answered are left out
 * @returns the number of servers
 */
export const countCrashedServers = (outcomes: readonly RunOutcome[]): number => {
  const ordered = outcomes
    .filter(({ hasCrashed }) => hasCrashed)
    .sort((left, right) => left.atMs - right.atMs);
  const first = new Map<string, RunOutcome>();
  ordered.forEach((crash) => {
    if (!first.has(crash.server)) first.set(crash.server, crash);
  });
  return splitByFault([...first.values()]).reduce((sum, group) => sum + countOfOneFault(group), 0);
};
