import { computeRendezvousWeight } from '../computeRendezvousWeight';

/** A VM that may read the store on behalf of other VMs. */
export interface RowReaderCandidate {
  readonly vm: string;
  readonly availabilityZone: string;
  /** Share of processor cores; VMs with more cores are preferred. */
  readonly cores: number;
}

/**
 * Chooses the VM that reads the store for all VMs of an availability zone: among the VMs with the
 * most cores, the one with the highest rendezvous weight.
 *
 * VMs with the same membership view make the same choice. A VM with a different view only costs an
 * additional call to the store.
 *
 * @param self - this VM, which may be chosen itself
 * @param others - other known VMs of any zone, without those that cannot share what they read
 * @returns the chosen VM
 */
export const chooseRowReader = <T extends RowReaderCandidate>(self: T, others: readonly T[]): T => {
  const { availabilityZone } = self;
  const weightOf = ({ vm }: T): number => computeRendezvousWeight(availabilityZone, vm);
  return others
    .filter((other) => other.availabilityZone === availabilityZone)
    .reduce((best, other) => {
      const order =
        other.cores - best.cores ||
        weightOf(other) - weightOf(best) ||
        (other.vm < best.vm ? 1 : -1);
      return order > 0 ? other : best;
    }, self);
};
