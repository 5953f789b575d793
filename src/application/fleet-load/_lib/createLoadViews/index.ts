import { computeOtherRequests, PART_TTL_MS, type LoadPart } from '../../../../domain/fleet-load';
import { updateUndisturbedEstimate } from '../../../../domain/load';
import type { Clock } from '../../../ports';
import type { FleetLoadView } from '../../types';

/** The views that the collector's answers give. */
export interface LoadViews {
  /** Records the sums that answer the report of a part of this VM, and how long it took. */
  recordAnswer(own: LoadPart, zones: readonly LoadPart[], tookMs: number): void;
  readLoad(service: string): FleetLoadView | null;
  listLoads(): ReadonlyMap<string, FleetLoadView>;
}

/**
 * Weight of a new view: the requests that run at one moment vary by as much as those of two
 * servers differ, and all VMs would follow each difference at once.
 */
const VIEW_WEIGHT = 0.25;

/** Averages below this many requests are dropped. */
const MIN_REQUESTS = 0.05;

interface HeldView {
  readonly view: FleetLoadView;
  readonly receivedAtMs: number;
}

const averageRequests = (
  before: ReadonlyMap<string, number> | null,
  now: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> => {
  if (!before) return now;
  const servers = new Set([...before.keys(), ...now.keys()]);
  const averages = [...servers].map((server): [string, number] => {
    const requests = now.get(server) ?? 0;
    const average = before.get(server) ?? 0;
    return [server, average + VIEW_WEIGHT * (requests - average)];
  });
  return new Map(averages.filter(([, requests]) => requests >= MIN_REQUESTS));
};

const computeMeanAgeMs = (zones: readonly LoadPart[]): number => {
  const vms = zones.reduce((sum, zone) => sum + zone.vms, 0);
  return zones.reduce((sum, zone) => sum + zone.ageMs * zone.vms, 0) / Math.max(1, vms);
};

/** Creates the views, of which there are none yet. */
export const createLoadViews = ({
  clock,
}: {
  readonly clock: Pick<Clock, 'readMonotonicMs'>;
}): LoadViews => {
  let views: ReadonlyMap<string, HeldView> = new Map();
  /** Within the zone, message handling included; 0 while this VM collects. */
  let ownRoundTripMs = 0;

  const readLoad = (service: string): FleetLoadView | null => {
    const held = views.get(service);
    if (!held) return null;
    const ageMs = held.view.ageMs + clock.readMonotonicMs() - held.receivedAtMs;
    return ageMs <= PART_TTL_MS ? { ...held.view, ageMs } : null;
  };

  const buildView = (
    own: LoadPart,
    zones: readonly LoadPart[],
    service: string,
  ): FleetLoadView => ({
    ageMs: computeMeanAgeMs(zones),
    otherRequests: averageRequests(
      readLoad(service)?.otherRequests ?? null,
      computeOtherRequests(zones, own, service),
    ),
    arrivalsPerS: new Map(
      zones.flatMap(({ availabilityZone, services }) =>
        services
          .filter((load) => load.service === service)
          .map(({ arrivalsPerS }): [string, number] => [availabilityZone, arrivalsPerS]),
      ),
    ),
    crossingsMs: new Map(
      zones.flatMap(({ availabilityZone, roundTripMs }): [string, number][] =>
        roundTripMs === null ? [] : [[availabilityZone, Math.max(0, roundTripMs - ownRoundTripMs)]],
      ),
    ),
  });

  return {
    readLoad,
    recordAnswer: (own, zones, tookMs) => {
      ownRoundTripMs = updateUndisturbedEstimate(ownRoundTripMs, tookMs);
      const receivedAtMs = clock.readMonotonicMs();
      views = new Map(
        own.services.map(({ service }) => [
          service,
          { view: buildView(own, zones, service), receivedAtMs },
        ]),
      );
    },
    listLoads: () =>
      new Map(
        [...views.keys()].flatMap((service) => {
          const view = readLoad(service);
          return view ? [[service, view] as const] : [];
        }),
      ),
  };
};
