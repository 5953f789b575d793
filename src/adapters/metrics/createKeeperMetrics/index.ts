import { Counter, Registry } from 'prom-client';
import { addGauge } from '../_lib/addGauge';
import { addProcessGauges } from '../_lib/addProcessGauges';

/** Sources of a keeper's gauges, read when the metrics are collected. */
export interface KeeperGauges {
  readonly isLeaseHolder: () => boolean;
  readonly countWaitingEngines: () => number;
  readonly readConfigurationVersion: () => number;
}

/** Metrics of one keeper, with their own registry. */
export interface KeeperMetrics {
  readonly contentType: string;
  /** Counts a sent order. */
  recordOrder(): void;
  /** Adds the gauges with their sources; until then the gauges are absent. */
  addGauges(gauges: KeeperGauges): void;
  /** Renders all metrics in the Prometheus text format. */
  render(): Promise<string>;
}

/** Creates the metrics of one keeper. */
export function createKeeperMetrics(): KeeperMetrics {
  const registry = new Registry();
  addProcessGauges(registry);
  const orders = new Counter({
    name: 'jackdaw_keeper_orders_total',
    help: 'Orders sent to engines.',
    registers: [registry],
  });
  return {
    contentType: registry.contentType,
    recordOrder: () => orders.inc(),
    addGauges: (gauges) => {
      addGauge(registry, 'jackdaw_keeper_lease_held', '1 if this keeper may order engines.', () =>
        Number(gauges.isLeaseHolder()),
      );
      addGauge(
        registry,
        'jackdaw_keeper_engines_waiting',
        'Engines that are not as desired; 0 at a keeper without the lease.',
        gauges.countWaitingEngines,
      );
      addGauge(
        registry,
        'jackdaw_configuration_version',
        'Version of the configuration in force; 0 is none.',
        gauges.readConfigurationVersion,
      );
    },
    render: () => registry.metrics(),
  };
}
