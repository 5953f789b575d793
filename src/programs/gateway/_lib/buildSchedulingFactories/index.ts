import {
  createSchedulerClient,
  createStreamScheduler,
  type SchedulerClientDependencies,
  type StreamSchedulerDependencies,
} from '../../../../application/scheduling';
import { rankSchedulers } from '../../../../domain/scheduling';
import type { SchedulingFactories } from '../../types';

/** What the schedulers and their client need besides the transport. */
export type SchedulingFactoriesOptions = Omit<
  StreamSchedulerDependencies,
  'deliverDecision' | 'service'
> &
  Pick<SchedulerClientDependencies, 'clock' | 'log' | 'randomness'>;

/** Builds the factories of the parts that schedule streams. */
export const buildSchedulingFactories = (
  options: SchedulingFactoriesOptions,
): SchedulingFactories => {
  const { clock, log, randomness } = options;
  return {
    createScheduler: (service, deliverDecision) =>
      createStreamScheduler({ ...options, service, deliverDecision }),
    createClient: (transport) => createSchedulerClient({ ...transport, clock, log, randomness }),
    rankSchedulers,
  };
};
