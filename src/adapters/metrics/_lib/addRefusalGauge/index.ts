import { Gauge, type Registry } from 'prom-client';

/** Adds the gauge of requests that were refused as this VM was overloaded, by cause. */
export const addRefusalGauge = (
  registry: Registry,
  countRefusals: () => ReadonlyMap<string, number>,
): void => {
  const refusals: Gauge = new Gauge({
    name: 'jackdaw_overload_refusals',
    help: 'Requests refused since the start as this VM was overloaded.',
    labelNames: ['cause'],
    registers: [registry],
    collect: () => countRefusals().forEach((count, cause) => refusals.set({ cause }, count)),
  });
};
