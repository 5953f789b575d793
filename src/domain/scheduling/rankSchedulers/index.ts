import { rankBySize } from '../../membership';

/** A VM that may schedule the streams of a service. */
export interface SchedulerCandidate {
  readonly vm: string;
  readonly availabilityZone: string;
  /** Processor share of the VM; null if unknown. */
  readonly cores: number | null;
}

/** Schedulers that are asked in turn until one answers. */
const MAX_SCHEDULERS = 8;

/**
 * Ranks the VMs that may schedule the streams of a service; VMs with the same candidates agree.
 *
 * Large VMs come first. The second scheduler is in another availability zone than the first, if
 * possible among the large ones.
 *
 * @returns at most eight VMs, the scheduler first
 */
export const rankSchedulers = <Candidate extends SchedulerCandidate>(
  candidates: readonly Candidate[],
  service: string,
): readonly Candidate[] => {
  const { large, small } = rankBySize(candidates, `schedule ${service}`);
  const [first] = large;
  if (first === undefined) return [];
  const ranked = [...large, ...small];
  const second =
    large.find(({ availabilityZone }) => availabilityZone !== first.availabilityZone) ?? ranked[1];
  const others = ranked.filter((candidate) => candidate !== first && candidate !== second);
  return [first, second, ...others]
    .filter((candidate) => candidate !== undefined)
    .slice(0, MAX_SCHEDULERS);
};
