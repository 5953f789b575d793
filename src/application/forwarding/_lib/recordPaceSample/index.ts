import { formatIncarnation } from '../../../../domain/forwarding';
import type { PaceSample } from '../../../../domain/paces';
import type { StreamAttempt, StreamRun } from '../../types';

/** Records the pace of a server of a scheduled service, for this VM and for the scheduler. */
export const recordPaceSample = (
  { context, dependencies }: StreamRun,
  { scheduled, server }: StreamAttempt,
  sample: PaceSample & { readonly tokens: number },
): void => {
  if (!scheduled || sample.tokens <= 0) return;
  scheduled.samples.push(sample);
  const { service } = context;
  dependencies.serverPaces.record({ service, incarnation: formatIncarnation(server) }, sample);
};
