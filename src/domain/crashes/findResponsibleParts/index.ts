import { countCrashedServers } from '../countCrashedServers';
import { findNewestMs } from '../findNewestMs';
import { judgeCrashes } from '../judgeCrashes';
import type { RunOutcome } from '../types';

/** Parts of a request that account for crashes. */
export interface ResponsibleParts {
  /** Their fingerprints; several if they were always seen together. */
  readonly fingerprints: readonly string[];
  /** Crashes that only these parts explain. */
  readonly crashes: number;
  readonly lastCrashAtMs: number;
}

/**
 * Finds the parts of a request for which the request must not be sent.
 *
 * A crash accuses every suspected part that was being answered on the server. It counts against a
 * request only if that has all of them: then the request has the cause, whichever part it is. A
 * request with some of them is sent, and its outcome tells the parts apart.
 *
 * @param own - fingerprints of the request's parts
 * @param suspects - crashes by the fingerprint of each suspected part, of all requests
 * @returns null if the request may be sent
 */
export const findResponsibleParts = (
  own: readonly string[],
  suspects: ReadonlyMap<string, readonly RunOutcome[]>,
): ResponsibleParts | null => {
  const ownSet = new Set(own);
  /** Suspected parts by the server that crashed under them. */
  const partsByServer = new Map<string, string[]>();
  suspects.forEach((crashes, part) =>
    new Set(crashes.map(({ server }) => server)).forEach((server) =>
      partsByServer.set(server, [...(partsByServer.get(server) ?? []), part]),
    ),
  );
  const repeated = own
    .flatMap((part) => suspects.get(part) ?? [])
    .filter(({ server }) => partsByServer.get(server)?.every((part) => ownSet.has(part)));
  if (!judgeCrashes(repeated, { isPart: true, hasAnswer: false })) return null;
  const servers = new Set(repeated.map(({ server }) => server));
  return {
    fingerprints: own.filter((part) =>
      suspects.get(part)?.some(({ server }) => servers.has(server)),
    ),
    crashes: countCrashedServers(repeated),
    lastCrashAtMs: findNewestMs(repeated),
  };
};
