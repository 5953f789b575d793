import { chooseOwners } from '../../membership';

/** A VM that may own rate limits. */
export interface OwnerCandidate {
  readonly vm: string;
  readonly availabilityZone: string;
}

/** Owners that are asked in turn until one answers. */
const MAX_OWNERS = 8;

/**
 * Ranks the VMs that own the rate limit of a server.
 *
 * The rank is computed by rendezvous hashing, so that VMs with the same candidates agree. The
 * second owner is in another availability zone than the first, if possible.
 *
 * @returns at most eight VMs, the first owner first
 */
export const rankLimitOwners = <Candidate extends OwnerCandidate>(
  candidates: readonly Candidate[],
  server: string,
): readonly Candidate[] => {
  const candidatesByVm = new Map(candidates.map((one) => [one.vm, one]));
  const ranked = chooseOwners([...candidatesByVm.keys()], `limit ${server}`, candidatesByVm.size)
    .map((vm) => candidatesByVm.get(vm))
    .filter((one) => one !== undefined);
  const [first] = ranked;
  const second =
    ranked.find(({ availabilityZone }) => availabilityZone !== first?.availabilityZone) ??
    ranked[1];
  const others = ranked.filter((one) => one !== first && one !== second);
  return [first, second, ...others].filter((one) => one !== undefined).slice(0, MAX_OWNERS);
};
