import { chooseOwners } from '../chooseOwners';

/** Maximum number of VMs in a region at which each pair of VMs has a link. */
export const MAX_FULL_MESH_VMS = 10;
/** Partners that each VM of a larger region chooses; on average as many VMs choose it. */
export const PARTNERS_PER_VM = 2;

/** A VM that may be chosen as a gossip partner. */
export interface GossipPartnerCandidate {
  readonly vm: string;
  /** Monotonic time of the last failed call to the VM, in milliseconds, or null. */
  readonly failedAtMs: number | null;
}

/** Chooses the next half of the ring of sorted names, so that each pair of VMs has one link. */
function chooseSuccessors(self: string, vms: readonly string[]): readonly string[] {
  const count = Math.ceil(vms.length / 2);
  const sorted = [...vms].sort();
  const after = sorted.filter((vm) => vm > self);
  const before = sorted.filter((vm) => vm < self);
  return [...after, ...before].slice(0, count);
}

/**
 * Chooses the VMs with which this VM exchanges news in each round.
 *
 * The choice is stable, so that facts that a partner already has are not sent again. In a small
 * region each pair of VMs has a link. In a large region the partners are chosen by rendezvous
 * hashing. This forms a random graph over all VMs, in which news reaches every VM in about log n /
 * log 3 rounds, since links carry news in both directions. A failed partner is replaced by the next
 * one until `backoffMs` has passed.
 *
 * @param self - name of this VM
 * @param candidates - VMs of the region, without this VM
 * @param options - `nowMs` and `backoffMs` in monotonic milliseconds
 * @returns names of the chosen VMs
 */
export function chooseGossipPartners(
  self: string,
  candidates: readonly GossipPartnerCandidate[],
  options: { readonly nowMs: number; readonly backoffMs: number },
): readonly string[] {
  const usable = candidates
    .filter(
      ({ failedAtMs }) => failedAtMs === null || options.nowMs - failedAtMs >= options.backoffMs,
    )
    .map(({ vm }) => vm);
  if (usable.length < MAX_FULL_MESH_VMS) return chooseSuccessors(self, usable);
  return chooseOwners(usable, self, PARTNERS_PER_VM);
}
