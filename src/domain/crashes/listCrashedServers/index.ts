import { isPartFingerprint } from '../isPartFingerprint';
import type { CrashedServer, LostRuns, RunOutcome } from '../types';

/** A run that crashes its server at once has gone on for less than this. */
const YOUNG_MS = 150;

const sumByPart = (
  runs: readonly RunOutcome[],
  read: (run: RunOutcome) => number,
): ReadonlyMap<string, number> => {
  const sums = new Map<string, number>();
  runs.forEach((run) =>
    run.parts?.forEach((part) => sums.set(part, (sums.get(part) ?? 0) + read(run))),
  );
  return sums;
};

const countRuns = (runs: readonly RunOutcome[]): LostRuns => ({
  runs: runs.length,
  parts: sumByPart(runs, () => 1),
});

const readRanMs = ({ ranMs }: RunOutcome): number => ranMs;

/**
 * Lists the servers that crashed, with what is known of their runs.
 *
 * @param crashes - crashes under requests; those under prompt parts are ignored
 * @returns the servers in the order of their first crash in the list
 */
export const listCrashedServers = (crashes: readonly RunOutcome[]): readonly CrashedServer[] => {
  const crashesByServer = new Map<string, RunOutcome[]>();
  crashes
    .filter(({ fingerprint }) => !isPartFingerprint(fingerprint))
    .forEach((crash) => {
      const known = crashesByServer.get(crash.server);
      if (known) known.push(crash);
      else crashesByServer.set(crash.server, [crash]);
    });
  return [...crashesByServer].map(([server, runs]) => {
    const newestMs = Math.min(...runs.map(({ ranMs }) => ranMs));
    const newest = runs.filter(({ ranMs }) => ranMs === newestMs);
    return {
      server,
      ...countRuns(runs),
      lostMs: runs.reduce((sum, { ranMs }) => sum + ranMs, 0),
      lostMsByPart: sumByPart(runs, readRanMs),
      newestParts: new Set(newest.flatMap(({ parts = [] }) => parts)),
      early: countRuns(runs.filter(({ isLate }) => isLate !== true)),
      young: countRuns(runs.filter(({ ranMs }) => ranMs <= YOUNG_MS)),
    };
  });
};
