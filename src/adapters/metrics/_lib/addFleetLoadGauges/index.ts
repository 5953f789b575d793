import type { Registry } from 'prom-client';
import type { FleetLoadView } from '../../../../application/fleet-load';
import { createServiceGauges } from '../createServiceGauges';

const MS_PER_S = 1000;

const sumValues = (values: ReadonlyMap<string, number>): number =>
  [...values.values()].reduce((sum, value) => sum + value, 0);

/** Adds the gauges of the fleet's load; services of which no load is known have none. */
export const addFleetLoadGauges = (
  registry: Registry,
  listLoads: () => ReadonlyMap<string, FleetLoadView>,
): void => {
  const addGauge = createServiceGauges(registry, listLoads);
  addGauge(
    'jackdaw_fleet_load_age_seconds',
    'Age of the load of all VMs, as known at this VM.',
    ({ ageMs }) => ageMs / MS_PER_S,
  );
  addGauge(
    'jackdaw_fleet_other_requests',
    'Running requests of other VMs, as known at this VM.',
    ({ otherRequests }) => sumValues(otherRequests),
  );
  addGauge(
    'jackdaw_fleet_arrivals_per_second',
    'Arrivals at all VMs, as known at this VM.',
    ({ arrivalsPerS }) => sumValues(arrivalsPerS),
  );
};
