import type { Claims, Clock, EventLog, PlainClient } from '../../ports';
import type { ServingRouter } from '../../routing';

/** Dependencies of calls to plain services. */
export interface PlainServicesDependencies {
  readonly router: Pick<ServingRouter, 'acquireSlot' | 'estimateHedgeDelayMs'>;
  readonly claims: Claims;
  readonly client: PlainClient;
  readonly clock: Clock;
  readonly log: EventLog;
}
