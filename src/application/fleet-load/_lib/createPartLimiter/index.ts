import { limitLoadBytes, type LoadPart } from '../../../../domain/fleet-load';
import type { EventLog } from '../../../ports';

/** Limits a part to what fits in a message. */
export type LimitPart = (part: LoadPart, maxBytes: number) => LoadPart;

/** Creates the limiter, which logs when it begins to leave out servers of a zone. */
export const createPartLimiter = ({ log }: { readonly log: EventLog }): LimitPart => {
  const cutZones = new Set<string>();
  return (part, maxBytes) => {
    const { availabilityZone: zone } = part;
    const { omittedServers, services } = limitLoadBytes(part.services, maxBytes);
    if (omittedServers > 0 && !cutZones.has(zone))
      log.warn('load of the fleet cut', { zone, omittedServers, maxBytes });
    if (omittedServers > 0) cutZones.add(zone);
    else cutZones.delete(zone);
    return { ...part, services, omittedServers: part.omittedServers + omittedServers };
  };
};
