import type { LineLogger } from '../../../adapters/log';
import type { Clock, Randomness } from '../../../application/ports';

/** Replacements of an entry's parts, for tests, the demo and benchmarks. */
export interface EntryOverrides {
  readonly clock?: Clock;
  readonly randomness?: Randomness;
  /** Destination of log lines; standard output by default. */
  readonly logger?: LineLogger;
}
