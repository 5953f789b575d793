import { Counter, type Registry } from 'prom-client';
import type { RetryMeter, RetryUse } from '../../../../application/forwarding';
import { createServiceGauges } from '../createServiceGauges';

type RetryUseSource = () => ReadonlyMap<string, RetryUse>;

const addGauges = (registry: Registry, listUse: RetryUseSource): void => {
  const addGauge = createServiceGauges(registry, listUse);
  addGauge(
    'jackdaw_retry_allowed',
    'Retries that this VM may use in the present window.',
    ({ allowed }) => allowed,
  );
  addGauge(
    'jackdaw_retry_used',
    'Retries of the present window that this VM acquired or lent.',
    ({ retries }) => retries,
  );
  addGauge(
    'jackdaw_retry_open',
    'Retries whose attempts may still arrive at a server.',
    ({ open }) => open,
  );
  addGauge(
    'jackdaw_retry_requests',
    'Requests of the present window that the allowed retries rest on.',
    ({ requests }) => requests,
  );
  addGauge(
    'jackdaw_retry_fixed',
    'Retries of each window that this VM may use whatever its requests.',
    ({ fixed }) => fixed,
  );
};

/** Creates the meter of the retry budget; services without requests or retries have no gauges. */
export const createRetryMeter = (
  registry: Registry,
): RetryMeter & { readonly addRetryGauges: (listUse: RetryUseSource) => void } => {
  const retries = new Counter({
    name: 'jackdaw_retries_total',
    help: 'Retries of the budget of all VMs, by service and what happened to them.',
    labelNames: ['service', 'event'],
    registers: [registry],
  });
  return {
    recordRetry: (service, event) => retries.inc({ service, event }),
    addRetryGauges: (listUse) => addGauges(registry, listUse),
  };
};
