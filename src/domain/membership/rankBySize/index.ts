import { chooseOwners } from '../chooseOwners';

/** A VM that may do a task for others. */
export interface RankedVm {
  readonly vm: string;
  /** Processor share; null or 0 if unknown. */
  readonly cores: number | null;
}

/** VMs in the order in which they are asked; all large ones come before the small ones. */
export interface VmsBySize<Vm> {
  readonly large: readonly Vm[];
  readonly small: readonly Vm[];
}

/** Lowest processor share of a large VM, as a fraction of the largest known share. */
const MIN_CORES_FRACTION = 0.5;

/**
 * Ranks the VMs that may do a task, the large ones apart from the small ones.
 *
 * The rank is computed by rendezvous hashing, so that VMs with the same candidates agree. If no
 * processor share is known, all VMs are large.
 *
 * @param key - identifies the task
 */
export const rankBySize = <Vm extends RankedVm>(
  candidates: readonly Vm[],
  key: string,
): VmsBySize<Vm> => {
  const candidatesByVm = new Map(candidates.map((candidate) => [candidate.vm, candidate]));
  const largestCores = Math.max(0, ...candidates.map(({ cores }) => cores ?? 0));
  const isLarge = ({ cores }: Vm): boolean => (cores ?? 0) >= largestCores * MIN_CORES_FRACTION;
  const ranked = chooseOwners([...candidatesByVm.keys()], key, Infinity)
    .map((vm) => candidatesByVm.get(vm))
    .filter((candidate) => candidate !== undefined);
  return {
    large: ranked.filter(isLarge),
    small: ranked.filter((candidate) => !isLarge(candidate)),
  };
};
