import { computeRendezvousWeight } from '../computeRendezvousWeight';

/** A VM that may read the store for others. */
export interface RowReaderCandidate {
  readonly vm: string;
  readonly availabilityZone: string;
  /** Processor share; larger ones are chosen first. */
  readonly cores: number;
}

/**
 * Chooses the VM of an availability zone that reads the store for all VMs of the zone: one of the
 * largest, by rendezvous hash. VMs with the same view choose alike, and one that disagrees only makes
 * another call.
 *
 * @param self - this VM, which is chosen if it comes first
 * @param others - VMs heard of, of any zone, without those that cannot tell anything
 * @returns the VM, which may be this one
 */
export const chooseRowReader = <T extends RowReaderCandidate>(self: T, others: readonly T[]): T => {
  const { availabilityZone } = self;
  const rankOf = ({ vm }: T): number => computeRendezvousWeight(availabilityZone, vm);
  return others
    .filter((other) => other.availabilityZone === availabilityZone)
    .reduce((best, other) => {
      const order =
        other.cores - best.cores || rankOf(other) - rankOf(best) || (other.vm < best.vm ? 1 : -1);
      return order > 0 ? other : best;
    }, self);
};
