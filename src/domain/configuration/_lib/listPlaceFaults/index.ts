import type { Configuration, Place } from '../../../types';
import type { ConfigurationFault } from '../../types';

function hasZoneElsewhere(place: Place, others: readonly Place[], zone: string): boolean {
  return others.some(
    (other) => other.region !== place.region && other.availabilityZones.includes(zone),
  );
}

/** Lists places whose availability zone stands in two regions; in two places it may stand. */
export function listPlaceFaults({ places }: Configuration): readonly ConfigurationFault[] {
  return places.flatMap((place) =>
    place.availabilityZones
      .filter((zone) => hasZoneElsewhere(place, places, zone))
      .map((zone) => ({
        path: ['places', place.name, 'availability_zones'],
        reason: `availability zone "${zone}" stands in another region elsewhere`,
      })),
  );
}
