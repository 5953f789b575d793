import { chooseOwners } from '../chooseOwners';

/** Up to this many VMs, each pair has a link. */
export const MAX_FULL_MESH_VMS = 10;
/** Partners chosen by each VM of a larger region; as many choose it on average. */
export const PARTNERS_PER_VM = 2;

/** A VM that may be chosen for an exchange. */
export interface GossipPartnerCandidate {
  readonly vm: string;
  /** Monotonic time of the last failed call to it, in milliseconds, or null. */
  readonly failedAtMs: number | null;
}

/** The next names on the ring of sorted names: half of the others, so that each pair meets once. */
function chooseSuccessors(self: string, vms: readonly string[]): readonly string[] {
  const count = Math.ceil(vms.length / 2);
  const sorted = [...vms].sort();
  const after = sorted.filter((vm) => vm > self);
  const before = sorted.filter((vm) => vm < self);
  return [...after, ...before].slice(0, count);
}

/**
 * Chooses the VMs with which this one exchanges news in each round.
 *
 * The choice is stable: what the partner already has need not be sent again. In a small region each
 * pair of VMs has a link. In a large one the partners are chosen by rendezvous hash, which makes a
 * random graph over all VMs, in which news reaches everyone in about log n / log 3 rounds, as links
 * carry it both ways. A partner that fails is replaced by the next until `backoffMs` has passed.
 *
 * @param self - name of this VM
 * @param candidates - VMs of the region, without this one
 * @param options - `nowMs` and `backoffMs` in monotonic milliseconds
 * @returns names of VMs
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
