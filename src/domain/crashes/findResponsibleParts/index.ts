import { countCrashedServers } from '../countCrashedServers';
import { countNeededCrashes } from '../countNeededCrashes';
import { findNewestMs } from '../findNewestMs';
import { judgeCrashes } from '../judgeCrashes';
import type { RunOutcome } from '../types';

/** Parts of a request that account for crashes. */
export interface ResponsibleParts {
  /** Their fingerprints; several if they were always seen together. */
  readonly fingerprints: readonly string[];
  /** Crashes that count for the pause before the next trial. */
  readonly crashes: number;
  readonly lastCrashAtMs: number;
}

/** Crashes of a part that was never answered which are enough, whatever ran beside it. */
const CRASHES_BESIDE_OTHERS = countNeededCrashes({ isPart: true, hasAnswer: true });

/** Crashes after which the first trial of a part follows soonest. */
const MIN_CRASHES = countNeededCrashes({ isPart: true, hasAnswer: false });

/** Suspected parts, of all requests. */
export interface SuspectedParts {
  /** Crashes by the fingerprint of each part. */
  readonly crashesByPart: ReadonlyMap<string, readonly RunOutcome[]>;
  /** Fingerprints of the parts that no server has answered since they were suspected. */
  readonly unanswered: ReadonlySet<string>;
}

/** Lists the crashes of those parts that only the parts of the request explain. */
const listExplainedCrashes = (
  own: ReadonlySet<string>,
  crashesByPart: SuspectedParts['crashesByPart'],
): readonly RunOutcome[] => {
  const partsByServer = new Map<string, string[]>();
  crashesByPart.forEach((crashes, part) =>
    new Set(crashes.map(({ server }) => server)).forEach((server) =>
      partsByServer.set(server, [...(partsByServer.get(server) ?? []), part]),
    ),
  );
  return [...own]
    .flatMap((part) => crashesByPart.get(part) ?? [])
    .filter(({ server }) => partsByServer.get(server)?.every((part) => own.has(part)));
};

/** Lists the crashes of a part that was never answered, whatever ran beside it; none if too few. */
const listUnansweredPartCrashes = (
  own: ReadonlySet<string>,
  { crashesByPart, unanswered }: SuspectedParts,
): readonly RunOutcome[] =>
  [...own]
    .filter((part) => unanswered.has(part))
    .map((part) => crashesByPart.get(part) ?? [])
    .find((crashes) => countCrashedServers(crashes) >= CRASHES_BESIDE_OTHERS) ?? [];

/**
 * Finds the parts of a request for which the request must not be sent.
 *
 * A crash accuses every suspected part that was being answered on the server. It counts against a
 * request only if that has all of them: then the request has the cause, whichever part it is. A
 * request with some of them is sent, and its outcome tells the parts apart. Several bad parts that
 * run side by side would hide each other in this way, so a part that was never answered is
 * responsible after more crashes whatever ran beside it; a trial that is answered takes that back.
 *
 * @param own - fingerprints of the request's parts
 * @param suspects - suspected parts of all requests
 * @returns null if the request may be sent
 */
export const findResponsibleParts = (
  own: readonly string[],
  suspects: SuspectedParts,
): ResponsibleParts | null => {
  const ownSet = new Set(own);
  const explained = listExplainedCrashes(ownSet, suspects.crashesByPart);
  const unanswered = listUnansweredPartCrashes(ownSet, suspects);
  const found = unanswered.length > 0 ? unanswered : explained;
  if (!judgeCrashes(found, { isPart: true, hasAnswer: false })) return null;
  const fingerprints = own.filter((part) => found.some(({ fingerprint }) => fingerprint === part));
  const alone = explained.filter(({ fingerprint }) => fingerprints.includes(fingerprint));
  return {
    fingerprints,
    crashes: Math.min(countCrashedServers(found), MIN_CRASHES + countCrashedServers(alone)),
    lastCrashAtMs: findNewestMs(found),
  };
};
