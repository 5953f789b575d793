import type { ServerPaces } from '../../paces';
import type { Clock, EventLog, ForwardClient, Randomness } from '../../ports';
import type { SchedulingDirectory } from './SchedulingDirectory';
import type { SchedulingMeter } from './SchedulingMeter';
import type { DeliverDecision } from './StreamScheduler';

/** What the scheduler of a service needs. */
export interface StreamSchedulerDependencies {
  readonly service: string;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly randomness: Randomness;
  readonly directory: SchedulingDirectory;
  readonly readReport: ForwardClient['readReport'];
  readonly paces: ServerPaces;
  readonly deliverDecision: DeliverDecision;
  readonly meter: SchedulingMeter;
}
