import type { ServerEntry } from '../../../../domain/forwarding';
import type { EventFields } from '../../../ports';
import type { ForwardContext, ForwardingDependencies } from '../../types';

/** Logs one decision about a request: its inputs, their versions and the outcome. */
export const logDecision = (
  { clock, log }: ForwardingDependencies,
  context: ForwardContext,
  decision: string,
  fields: EventFields & { readonly server?: never } = {},
  server: ServerEntry | null = null,
): void => {
  const { request, route, service, version } = context;
  log.info(decision, {
    requestId: request.requestId,
    route: route.name,
    service,
    configuration: version,
    ageMs: Math.round(clock.readMonotonicMs() - request.arrivedAtMs),
    ...(server ? { server: server.id, zone: server.availabilityZone } : {}),
    ...fields,
  });
};
