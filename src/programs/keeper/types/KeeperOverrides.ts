import type { LineLogger } from '../../../adapters/log';
import type { Clock, Randomness } from '../../../application/ports';

/** What a test, the demo or a bench may put in place of the process's own. */
export interface KeeperOverrides {
  readonly clock?: Clock;
  readonly randomness?: Randomness;
  /** Where log lines go; by default standard output. */
  readonly logger?: LineLogger;
}
