import { sum } from 'simple-statistics';
import { SAME_CAUSE_MS, type CrashedServer } from '../types';

/** Groups servers, each of which crashed within `SAME_CAUSE_MS` of the first one of its group. */
const groupByCause = (servers: readonly CrashedServer[]): readonly (readonly CrashedServer[])[] => {
  const groups: CrashedServer[][] = [];
  [...servers]
    .sort((left, right) => left.crashedAtMs - right.crashedAtMs)
    .forEach((one) => {
      const group = groups.at(-1);
      const startedAtMs = group?.[0]?.crashedAtMs ?? -Infinity;
      if (group && one.crashedAtMs - startedAtMs <= SAME_CAUSE_MS) group.push(one);
      else groups.push([one]);
    });
  return groups;
};

/**
 * Counts the runs that crashed servers lost, as independent events.
 *
 * Servers that crash together, as those of a rack or zone do, have one cause: they count as one server
 * with the mean of their runs, rounded up. The crashes of a prompt part are counted likewise
 * (`countCrashedServers`), so that the two can be compared.
 *
 * @returns the number of runs
 */
export const countLostRuns = (servers: readonly CrashedServer[]): number =>
  sum(
    groupByCause(servers).map((group) =>
      Math.ceil(sum(group.map(({ runs }) => runs)) / group.length),
    ),
  );
