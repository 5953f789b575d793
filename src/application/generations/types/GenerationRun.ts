import type { GenerationInput, GenerationState } from '../../../domain/generation';
import type { GenerationRequest } from '../../../domain/types';
import type { GenerationError, GenerationFeed } from '../../ports';
import type { ClaimWriter } from '../_lib/createClaimWriter';
import type { AttemptHandle } from './AttemptHandle';
import type { TokenLog } from './TokenLog';

/** A generation that this VM runs, or whose tokens this VM still holds. */
export interface GenerationRun {
  readonly generationId: string;
  readonly workspace: string;
  readonly service: string;
  /** Null if taken over by cursor alone; then no other engine can continue the generation. */
  readonly request: GenerationRequest | null;
  readonly log: TokenLog;
  readonly attempts: ReadonlyMap<number, AttemptHandle>;
  readState(): GenerationState;
  /** Attempt that delivered the last batch; its stream is the best one to resume. */
  readLastDeliveringAttempt(): AttemptHandle | null;
  readFailure(): GenerationError | null;
  /** True once the generation has ended, with a finish reason or a failure. */
  isEnded(): boolean;
  /** Monotonic time since which no caller follows or the run has ended; null while one follows. */
  readIdleSinceMs(): number | null;
  /** Monotonic time at which a delayed attempt is due, or null. */
  readRetryAtMs(): number | null;
  /** Monotonic time by which the first token must arrive. */
  readonly deadlineMs: number;
  /** Sets the writer of the claim under which attempts may be sent. */
  setClaimWriter(writer: ClaimWriter): void;
  /** Starts the first attempt; later calls have no effect. */
  start(): void;
  dispatch(input: GenerationInput): void;
  /** Resolves on the next delivery, on the end, or when a caller detaches. */
  waitForChange(): Promise<void>;
  /** Follows the run from an offset; null if no batch starts there. */
  attach(offset: number): GenerationFeed | null;
}
