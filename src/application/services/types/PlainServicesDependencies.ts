import type { Claims, Clock, EventLog, PlainClient } from '../../ports';
import type { ServingRouter } from '../../routing';

/** What calls to plain services need. */
export interface PlainServicesDependencies {
  readonly router: Pick<ServingRouter, 'acquireSlot' | 'estimateHedgeDelayMs'>;
  readonly claims: Claims;
  readonly client: PlainClient;
  readonly clock: Clock;
  readonly log: EventLog;
}
