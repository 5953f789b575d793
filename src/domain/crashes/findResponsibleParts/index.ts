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
  /** Fingerprints of those that were judged by their share of crashes, and by what ran beside them. */
  readonly judgedByShare: ReadonlySet<string>;
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

/**
 * Lists the crashes of a part that count whatever ran beside it: it was judged by its share of them, or
 * was never answered and crashed enough servers.
 */
const listCertainCrashes = (
  own: ReadonlySet<string>,
  { crashesByPart, judgedByShare, unanswered }: SuspectedParts,
): readonly RunOutcome[] => {
  const isCertain = (part: string): boolean =>
    judgedByShare.has(part) ||
    (unanswered.has(part) &&
      countCrashedServers(crashesByPart.get(part) ?? []) >= CRASHES_BESIDE_OTHERS);
  const certain = [...own].find(isCertain);
  return certain === undefined ? [] : (crashesByPart.get(certain) ?? []);
};

/**
 * Finds the parts of a request for which the request must not be sent.
 *
 * A crash accuses every suspected part that was being answered on the server. It counts against a
 * request only if that has all of them: then the request has the cause, whichever part it is. A
 * request with some of them is sent, and its outcome tells the parts apart. Several bad parts that
 * run side by side would hide each other in this way, so a part that was never answered is
 * responsible after more crashes whatever ran beside it; a trial that is answered takes that back. So is
 * one that was judged by its share of crashes, as that takes into account what ran beside it.
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
  const certain = listCertainCrashes(ownSet, suspects);
  const found = certain.length > 0 ? certain : explained;
  if (!judgeCrashes(found, { isPart: true, hasAnswer: false })) return null;
  const fingerprints = own.filter((part) => found.some(({ fingerprint }) => fingerprint === part));
  const alone = explained.filter(({ fingerprint }) => fingerprints.includes(fingerprint));
  return {
    fingerprints,
    crashes: Math.min(countCrashedServers(found), MIN_CRASHES + countCrashedServers(alone)),
    lastCrashAtMs: findNewestMs(found),
  };
};
