import { rankBySize } from '../../membership';

/** A VM that may collect the load of its availability zone. */
export interface CollectorCandidate {
  readonly vm: string;
  readonly availabilityZone: string;
  /** Processor share; 0 if it is not known. */
  readonly cores: number;
}

/**
 * Ranks the VMs that may collect the load of an availability zone; VMs with the same candidates
 * agree. Large VMs come first.
 */
export const rankCollectors = <Candidate extends CollectorCandidate>(
  candidates: readonly Candidate[],
  zone: string,
): readonly Candidate[] => {
  const ofZone = candidates.filter(({ availabilityZone }) => availabilityZone === zone);
  const { large, small } = rankBySize(ofZone, `load ${zone}`);
  return [...large, ...small];
};
