import { isPartFingerprint } from '../isPartFingerprint';
import { SAME_CAUSE_MS, type RunOutcome } from '../types';

/**
 * `SAME_CAUSE_MS` for crashes under copies of one request. It seldom runs on several servers at a time, and
 * VMs see the ends of one moment within a few milliseconds of each other.
 */
const SAME_MOMENT_MS = 30;

/**
 * Tells whether two crashes cannot have one common cause: they are those of one request, which runs
 * on one server at a time, or the server of the later one began its run after the earlier crash.
 */
const areSeparate = (earlier: RunOutcome, later: RunOutcome): boolean =>
  earlier.requestId === later.requestId ||
  later.atMs - later.ranMs >= earlier.atMs ||
  later.atMs - earlier.atMs >
    (isPartFingerprint(later.fingerprint) ? SAME_CAUSE_MS : SAME_MOMENT_MS);

/**
 * Counts the servers that a request, or requests with one prompt part, appear to have crashed.
 *
 * Each server counts once. Requests that ran concurrently when a rack was lost count as one crash:
 * the result is the length of the longest series of servers of which no two in a row have one cause.
 * A further crash never makes it shorter.
 *
 * @param outcomes - outcomes of one fingerprint, in any order; those without a crash are ignored
 * @returns the number of servers
 */
export const countCrashedServers = (outcomes: readonly RunOutcome[]): number => {
  /** Crashes by server, both in the order of time. */
  const crashesByServer = new Map<string, RunOutcome[]>();
  outcomes
    .filter(({ hasCrashed }) => hasCrashed)
    .sort((left, right) => left.atMs - right.atMs)
    .forEach((crash) =>
      crashesByServer.set(crash.server, [...(crashesByServer.get(crash.server) ?? []), crash]),
    );
  const servers = [...crashesByServer.values()];
  /** Length of the longest series that ends with each server. */
  const lengths: number[] = [];
  servers.forEach((crashes, index) => {
    const before = lengths.filter((_, other) =>
      servers[other]?.some((earlier) => crashes.some((later) => areSeparate(earlier, later))),
    );
    lengths[index] = 1 + Math.max(0, ...before);
  });
  return Math.max(0, ...lengths);
};
