import type { Clock, EventLog, Randomness } from '../../../application/ports';
import type { StoreClient } from '../../../../platform';

/** What tests pass in. */
export interface GatewayOverrides {
  readonly clock?: Clock;
  readonly randomness?: Randomness;
  readonly log?: EventLog;
  /** In place of the platform's store. */
  readonly store?: StoreClient;
  /** Log lines that were dropped, for the metrics. */
  readonly countDroppedLines?: () => number;
}
