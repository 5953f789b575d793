import type { GenerationInput, GenerationState } from '../../../domain/generation';
import type { GenerationRequest } from '../../../domain/types';
import type { GenerationError, GenerationFeed } from '../../ports';
import type { ClaimWriter } from '../_lib/createClaimWriter';
import type { AttemptHandle } from './AttemptHandle';
import type { TokenLog } from './TokenLog';

/** A generation that this VM runs, follows or still holds. */
export interface GenerationRun {
  readonly generationId: string;
  readonly workspace: string;
  readonly service: string;
  /** Null: taken over by a cursor alone, so that no other engine can be asked to go on. */
  readonly request: GenerationRequest | null;
  readonly log: TokenLog;
  readonly attempts: ReadonlyMap<number, AttemptHandle>;
  readState(): GenerationState;
  /** Attempt that delivered last: the best one to read on from. */
  readLastDeliveringAttempt(): AttemptHandle | null;
  readFailure(): GenerationError | null;
  /** True once it has ended, with a finish reason or a failure. */
  isEnded(): boolean;
  /** Monotonic time since which no caller follows it, or it has ended; null while one does. */
  readIdleSinceMs(): number | null;
  /** Monotonic time at which a delayed attempt is due, or null. */
  readRetryAtMs(): number | null;
  /** Monotonic time by which the first token must have come. */
  readonly deadlineMs: number;
  /** Gives it the claim under which it may be sent. */
  setClaimWriter(keeper: ClaimWriter): void;
  /** Sends the first attempt; later calls change nothing. */
  start(): void;
  dispatch(input: GenerationInput): void;
  /** Settles on the next delivery or on the end. */
  waitForChange(): Promise<void>;
  /** Follows it from an offset at which a batch begins; null if none does. */
  attach(offset: number): GenerationFeed | null;
}
