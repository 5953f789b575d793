import { chooseOwners } from '../../membership';

/** A VM that may keep limits. */
export interface OwnerCandidate {
  readonly vm: string;
  readonly availabilityZone: string;
}

/** Owners that are asked, one after the other, while some do not answer. */
const MAX_OWNERS = 8;

/**
 * Ranks the VMs that keep a server's limit: by rendezvous hashing, so that VMs that know the same
 * others agree; the second one is in another availability zone than the first, if there is one.
 *
 * @returns at most eight, first owner first
 */
export const rankLimitOwners = <Candidate extends OwnerCandidate>(
  candidates: readonly Candidate[],
  server: string,
): readonly Candidate[] => {
  const byName = new Map(candidates.map((one) => [one.vm, one]));
  const ranked = chooseOwners([...byName.keys()], `limit ${server}`, byName.size)
    .map((vm) => byName.get(vm))
    .filter((one) => one !== undefined);
  const [first] = ranked;
  const second =
    ranked.find(({ availabilityZone }) => availabilityZone !== first?.availabilityZone) ??
    ranked[1];
  const others = ranked.filter((one) => one !== first && one !== second);
  return [first, second, ...others].filter((one) => one !== undefined).slice(0, MAX_OWNERS);
};
