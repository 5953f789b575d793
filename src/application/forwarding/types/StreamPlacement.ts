import type { ServerEntry } from '../../../domain/forwarding';
import type { EventFields } from '../../ports';
import type { HeldCopy } from './StreamRun';

/** Where the next attempt goes. */
export interface StreamPlacement {
  readonly server: ServerEntry;
  /** Copy that it goes on from; null if it reads the prompt. */
  readonly copy: HeldCopy | null;
  /** True: it has the prompt in memory, or goes on from a copy. */
  readonly isPromptCached: boolean;
  /** Server that gets a copy as the run grows; null if there is none. */
  readonly backup: ServerEntry | null;
  /** True: it has no prompt to read before this one, and room for it. */
  readonly isFree: boolean;
  /** What the prediction rests on, for the log; empty if no report was read. */
  readonly estimate: EventFields;
  /**
   * Time that the first event is expected to take: as predicted, or the goal while this VM has seen no
   * pace; 0 where nobody was asked or the prompt is held. A VM that had just started gave long prompts up in the middle.
   */
  readonly expectedFirstEventMs: number;
  /** Time to the first event as the servers' reports predict it; null if no report was read. */
  readonly predictedMs: number | null;
}
