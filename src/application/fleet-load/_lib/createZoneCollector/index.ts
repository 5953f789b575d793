import {
  chooseZoneLoads,
  computePartAgeMs,
  MAX_LOAD_BYTES,
  mergeLoadPart,
  sumLoadParts,
  type HeldPart,
  type LoadPart,
} from '../../../../domain/fleet-load';
import { updateUndisturbedEstimate } from '../../../../domain/load';
import type { LimitPart } from '../createPartLimiter';
import type { FleetLoadDependencies } from '../../types';

/** What this VM holds as collector of its availability zone. */
export interface ZoneCollector {
  /** Merges the part of a VM of this zone. */
  mergePart(part: LoadPart): void;
  /** Merges the sum that a collector stated. */
  mergeZone(zone: LoadPart): void;
  recordRoundTrip(zone: string, tookMs: number): void;
  /** Builds the sum of this zone; null if no VM reports to this one. */
  buildZone(): LoadPart | null;
  /** Lists the sum of each zone, for some services. */
  listZones(services: ReadonlySet<string>): readonly LoadPart[];
}

/** Creates the collector, which holds nothing yet. */
export const createZoneCollector = ({
  buildStatement,
  clock,
  limitPart,
  self,
}: Pick<FleetLoadDependencies, 'clock' | 'self'> & {
  readonly limitPart: LimitPart;
  /** Builds what identifies the next part of this VM. */
  readonly buildStatement: () => Pick<LoadPart, 'incarnation' | 'sequence'>;
}): ZoneCollector => {
  const { availabilityZone, vm } = self;
  const roundTripsMs = new Map<string, number>();
  let parts: ReadonlyMap<string, HeldPart> = new Map();
  let zones: ReadonlyMap<string, HeldPart> = new Map();

  const sumOwnZone = (): LoadPart | null => {
    const sum = sumLoadParts([...parts.values()], clock.readMonotonicMs());
    if (sum.vms === 0) return null;
    return { ...buildStatement(), vm, availabilityZone, roundTripMs: null, ...sum };
  };

  return {
    mergePart: (part) => {
      if (part.availabilityZone !== availabilityZone) return;
      parts = mergeLoadPart(parts, part, clock.readMonotonicMs());
    },
    mergeZone: (zone) => {
      zones = mergeLoadPart(zones, zone, clock.readMonotonicMs());
    },
    recordRoundTrip: (zone, tookMs) => {
      roundTripsMs.set(zone, updateUndisturbedEstimate(roundTripsMs.get(zone) ?? 0, tookMs));
    },
    buildZone: () => {
      const zone = sumOwnZone();
      return zone && limitPart(zone, MAX_LOAD_BYTES);
    },
    listZones: (services) => {
      const nowMs = clock.readMonotonicMs();
      const own = sumOwnZone();
      const held = [...(own ? [{ part: own, receivedAtMs: nowMs }] : []), ...zones.values()];
      const chosen = chooseZoneLoads(held, nowMs);
      return chosen.map((one) =>
        limitPart(
          {
            ...one.part,
            ageMs: computePartAgeMs(one, nowMs),
            roundTripMs: roundTripsMs.get(one.part.availabilityZone) ?? null,
            services: one.part.services.filter(({ service }) => services.has(service)),
          },
          Math.floor(MAX_LOAD_BYTES / chosen.length),
        ),
      );
    },
  };
};
