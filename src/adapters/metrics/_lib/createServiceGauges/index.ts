import { Gauge, type Registry } from 'prom-client';

/** Adds a gauge with one value for each service; `read` takes what is known of the service. */
export type AddServiceGauge<View> = (
  name: string,
  help: string,
  read: (view: View) => number,
) => void;

/**
 * Creates the adder of gauges that are read, by service, when the metrics are collected.
 *
 * @param listViews - what is known of each service; services that are missing have no value
 */
export const createServiceGauges =
  <View>(registry: Registry, listViews: () => ReadonlyMap<string, View>): AddServiceGauge<View> =>
  (name, help, read) => {
    const gauge: Gauge = new Gauge({
      name,
      help,
      labelNames: ['service'],
      registers: [registry],
      collect: () => {
        gauge.reset();
        listViews().forEach((view, service) => gauge.set({ service }, read(view)));
      },
    });
  };
