import { chooseOwners } from '../../membership';

/** A VM that may collect the load of its availability zone. */
export interface CollectorCandidate {
  readonly vm: string;
  readonly availabilityZone: string;
  /** Processor share; 0 if it is not known. */
  readonly cores: number;
}

/** Lowest processor share of a preferred collector, as a fraction of the largest known share. */
const MIN_CORES_FRACTION = 0.5;

/**
 * Ranks the VMs that may collect the load of an availability zone, by rendezvous hashing, so that
 * VMs with the same candidates agree. Large VMs come first.
 */
export const rankCollectors = <Candidate extends CollectorCandidate>(
  candidates: readonly Candidate[],
  zone: string,
): readonly Candidate[] => {
  const ofZone = new Map(
    candidates.filter((one) => one.availabilityZone === zone).map((one) => [one.vm, one]),
  );
  const largestCores = Math.max(0, ...[...ofZone.values()].map(({ cores }) => cores));
  const ranked = chooseOwners([...ofZone.keys()], `load ${zone}`, ofZone.size)
    .map((vm) => ofZone.get(vm))
    .filter((one) => one !== undefined);
  const isLarge = ({ cores }: Candidate): boolean => cores >= largestCores * MIN_CORES_FRACTION;
  return [...ranked.filter(isLarge), ...ranked.filter((one) => !isLarge(one))];
};
