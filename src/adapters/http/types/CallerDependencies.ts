import type { Result } from 'neverthrow';
import type { CursorError } from '../../../domain/cursor';
import type { Cursor } from '../../../domain/types';
import type { CancelledGeneration } from '../../../application/cancellation';
import type {
  Clock,
  ConfigurationView,
  EventLog,
  Generations,
  Randomness,
} from '../../../application/ports';
import type { PlainServices } from '../../../application/services';
import type { Shutdown } from '../../../application/shutdown';
import type { EntryMetrics } from '../../metrics';

/** Signs and verifies cursors with the deployment's keys. */
export interface CursorSigner {
  sign(cursor: Cursor): string;
  verify(text: string): Result<Cursor, CursorError>;
}

/** Dependencies of the callers' API. */
export interface CallerDependencies {
  readonly configuration: ConfigurationView;
  readonly generations: Pick<Generations, 'startGeneration' | 'resumeGeneration'>;
  /** Cancels a generation on whichever VM runs it; false if none does. */
  readonly cancelGeneration: (generation: CancelledGeneration) => Promise<boolean>;
  readonly services: PlainServices;
  readonly cursors: CursorSigner;
  readonly shutdown: Shutdown;
  readonly metrics: EntryMetrics;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly log: EventLog;
  /** Whether this VM's configuration may be outdated, so that it accepts no new work. */
  readonly isCutOff: () => boolean;
}
