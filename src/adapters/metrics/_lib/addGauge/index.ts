import { Gauge, type Registry } from 'prom-client';

/** Adds a gauge whose value is read when the metrics are collected. */
export const addGauge = (
  registry: Registry,
  name: string,
  help: string,
  read: () => number,
): void => {
  const gauge: Gauge = new Gauge({
    name,
    help,
    registers: [registry],
    collect: () => gauge.set(read()),
  });
};
