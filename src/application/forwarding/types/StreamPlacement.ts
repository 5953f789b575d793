import type { ServerEntry } from '../../../domain/forwarding';
import type { EventFields } from '../../ports';
import type { SchedulingOutcome } from '../../scheduling';
import type { HeldCopy } from './StreamRun';

/** The grant of a scheduler. */
export type StreamGrant = Pick<Extract<SchedulingOutcome, { kind: 'send' }>, 'cancel'>;

/** The servers of the next attempt. */
export interface StreamPlacement {
  readonly server: ServerEntry;
  /** KV cache copy from which the attempt continues; null if the server processes the prompt. */
  readonly copy: HeldCopy | null;
  /** True if the server has the prompt in its cache or continues from a copy. */
  readonly isPromptCached: boolean;
  /** Server that receives a copy of the KV cache as the run grows; null if there is none. */
  readonly backup: ServerEntry | null;
  /** True if the server has no other prompt to process first, and room for this one. */
  readonly isFree: boolean;
  /** Inputs of the prediction, for the log; empty if no report was read. */
  readonly estimate: EventFields;
  /**
   * Expected time to the first event: the prediction, or the latency goal while this VM has seen no
   * prefill rate; 0 if no server was queried or the prompt is cached. Without the goal as fallback,
   * a VM that had just started gave up long prompts midway.
   */
  readonly expectedFirstEventMs: number;
  /** Time to the first event as predicted from the servers' reports; null if no report was read. */
  readonly predictedMs: number | null;
  /** The scheduler's grant; null if this VM chose the server. */
  readonly grant: StreamGrant | null;
}
