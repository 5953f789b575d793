import type { Claims, Clock, EventLog, PlainClient, Router } from '../../ports';

/** What calls to plain services need. */
export interface PlainDependencies {
  readonly router: Router;
  readonly claims: Claims;
  readonly client: PlainClient;
  readonly clock: Clock;
  readonly log: EventLog;
}
