import { sum } from 'simple-statistics';
import { isPartFingerprint } from '../isPartFingerprint';
import type { CrashedServer, RunOutcome } from '../types';

const readEndMs = ({ atMs }: RunOutcome): number => atMs;

const readAgeMs = ({ ranMs }: RunOutcome): number => ranMs;

/** Groups the ages of runs by the fingerprints of their prompt parts. */
const groupAgesByPart = (runs: readonly RunOutcome[]): ReadonlyMap<string, readonly number[]> => {
  const agesMsByPart = new Map<string, number[]>();
  runs.forEach(({ parts = [], ranMs }) =>
    parts.forEach((part) => {
      const known = agesMsByPart.get(part);
      if (known) known.push(ranMs);
      else agesMsByPart.set(part, [ranMs]);
    }),
  );
  return agesMsByPart;
};

const mapAges = (
  agesMsByPart: CrashedServer['agesMsByPart'],
  compute: (agesMs: number[]) => number,
): ReadonlyMap<string, number> =>
  new Map([...agesMsByPart].map(([part, agesMs]) => [part, compute([...agesMs])]));

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
    const agesMs = runs.map(readAgeMs);
    const agesMsByPart = groupAgesByPart(runs);
    const newestMs = Math.min(...agesMs);
    const newest = runs.filter(({ ranMs }) => ranMs === newestMs);
    return {
      server,
      crashedAtMs: Math.min(...runs.map(readEndMs)),
      runs: runs.length,
      parts: mapAges(agesMsByPart, ({ length }) => length),
      lostMs: sum(agesMs),
      lostMsByPart: mapAges(agesMsByPart, sum),
      agesMs,
      agesMsByPart,
      newestParts: new Set(newest.flatMap(({ parts = [] }) => parts)),
    };
  });
};
