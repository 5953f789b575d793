import type { RolloutTallies, RouteTally, VersionTally } from '../../../../domain/rollouts';

/** Tallies of the requests of one order on this VM, by route. */
export interface TrialTallies {
  record(route: string, version: keyof RouteTally, attempt: { readonly isPoor: boolean }): void;
  list(): RolloutTallies;
}

const EMPTY: VersionTally = { requests: 0, poor: 0 };

/** Creates empty tallies. */
export const createTrialTallies = (): TrialTallies => {
  const tallies = new Map<string, RouteTally>();
  return {
    record: (route, version, { isPoor }) => {
      const before = tallies.get(route) ?? { established: EMPTY, candidate: EMPTY };
      const { poor, requests } = before[version];
      const tally = { requests: requests + 1, poor: poor + (isPoor ? 1 : 0) };
      tallies.set(route, { ...before, [version]: tally });
    },
    list: () => new Map(tallies),
  };
};
