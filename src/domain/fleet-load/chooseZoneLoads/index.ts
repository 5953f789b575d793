import { computePartAgeMs } from '../computePartAgeMs';
import { PART_TTL_MS } from '../sumLoadParts';
import type { HeldPart } from '../types';

/**
 * Chooses one sum for each availability zone, of those that are not older than 2 s.
 *
 * While two VMs collect for a zone, the sum of more VMs is chosen: each VM reports to one of them,
 * but its last part still counts at the other, so that adding the sums would count it twice.
 */
export const chooseZoneLoads = (held: readonly HeldPart[], nowMs: number): readonly HeldPart[] => {
  const chosen = new Map<string, HeldPart>();
  held
    .filter((one) => one.part.vms > 0 && computePartAgeMs(one, nowMs) <= PART_TTL_MS)
    .forEach((one) => {
      const before = chosen.get(one.part.availabilityZone);
      if (!before || one.part.vms > before.part.vms) chosen.set(one.part.availabilityZone, one);
    });
  return [...chosen.values()];
};
