import { chooseOwners } from '../../membership';

/** A VM that may schedule the streams of a service. */
export interface SchedulerCandidate {
  readonly vm: string;
  readonly availabilityZone: string;
  /** Processor share of the VM; null if unknown. */
  readonly cores: number | null;
}

/** Schedulers that are asked in turn until one answers. */
const MAX_SCHEDULERS = 8;

/** Lowest processor share of a preferred scheduler, as a fraction of the largest known share. */
const MIN_CORES_FRACTION = 0.5;

/**
 * Ranks the VMs that may schedule the streams of a service.
 *
 * Large VMs come first. Within the large and the small ones the rank is computed by rendezvous
 * hashing, so that VMs with the same candidates agree. The second scheduler is in another
 * availability zone than the first, if possible among VMs of the same size.
 *
 * @returns at most eight VMs, the scheduler first
 */
export const rankSchedulers = <Candidate extends SchedulerCandidate>(
  candidates: readonly Candidate[],
  service: string,
): readonly Candidate[] => {
  const candidatesByVm = new Map(candidates.map((one) => [one.vm, one]));
  const largestCores = Math.max(0, ...candidates.map(({ cores }) => cores ?? 0));
  const isLarge = ({ cores }: Candidate): boolean =>
    largestCores === 0 || (cores ?? 0) >= largestCores * MIN_CORES_FRACTION;
  const hashed = chooseOwners([...candidatesByVm.keys()], `schedule ${service}`, Infinity)
    .map((vm) => candidatesByVm.get(vm))
    .filter((one) => one !== undefined);
  const ranked = [...hashed.filter(isLarge), ...hashed.filter((one) => !isLarge(one))];
  const [first] = ranked;
  if (first === undefined) return [];
  const second =
    ranked.find(
      (one) => one.availabilityZone !== first.availabilityZone && isLarge(one) === isLarge(first),
    ) ?? ranked[1];
  const others = ranked.filter((one) => one !== first && one !== second);
  return [first, second, ...others].filter((one) => one !== undefined).slice(0, MAX_SCHEDULERS);
};
