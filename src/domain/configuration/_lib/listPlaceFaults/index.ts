import type { Configuration, Place } from '../../../types';
import type { ConfigurationFault } from '../../types';

function isZoneInOtherRegion(place: Place, others: readonly Place[], zone: string): boolean {
  return others.some(
    (other) => other.region !== place.region && other.availabilityZones.includes(zone),
  );
}

/** Lists availability zones that belong to two regions; a zone may belong to two places. */
export function listPlaceFaults({ places }: Configuration): readonly ConfigurationFault[] {
  return places.flatMap((place) =>
    place.availabilityZones
      .filter((zone) => isZoneInOtherRegion(place, places, zone))
      .map((zone) => ({
        path: ['places', place.name, 'availability_zones'],
        reason: `availability zone "${zone}" also belongs to another region`,
      })),
  );
}
