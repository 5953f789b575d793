import type { Clock, EventLog, Randomness } from '../../../application/ports';
import type { StoreClient } from '../../../../platform';
import type { SchedulingFactories } from './SchedulingFactories';

/** Replacements of a gateway's parts, for tests. */
export interface GatewayOverrides {
  readonly clock?: Clock;
  readonly randomness?: Randomness;
  readonly log?: EventLog;
  /** Replaces the client of the platform's store. */
  readonly store?: StoreClient;
  readonly scheduling?: SchedulingFactories;
  /** Counts dropped log lines, for the metrics. */
  readonly countDroppedLines?: () => number;
}
