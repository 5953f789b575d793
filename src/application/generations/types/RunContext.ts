import type { GenerationInput, GenerationState } from '../../../domain/generation';
import type { GenerationRequest } from '../../../domain/types';
import type { CancelQueue } from '../_lib/createCancelQueue';
import type { ClaimWriter } from '../_lib/createClaimWriter';
import type { LatencyHistory } from '../../_lib/createLatencyHistory';
import type { ServerActivity } from '../_lib/createServerActivity';
import type { AttemptHandle } from './AttemptHandle';
import type { GenerationsDependencies } from './GenerationsDependencies';
import type { TokenLog } from './TokenLog';

/** Mutable reference to a claim writer; peers may follow the run before the claim is granted. */
export interface ClaimWriterReference {
  writer: ClaimWriter | null;
}

/** Context shared by the functions that work on one run. */
export interface RunContext {
  readonly dependencies: GenerationsDependencies;
  readonly cancelQueue: CancelQueue;
  readonly latencyHistory: LatencyHistory;
  readonly serverActivity: ServerActivity;
  readonly generationId: string;
  readonly workspace: string;
  readonly service: string;
  /** Null if the run can only read an existing stream. */
  readonly request: GenerationRequest | null;
  /** The writer is null for work without a claim, and until the claim is granted. */
  readonly claim: ClaimWriterReference;
  readonly deadlineMs: number;
  readonly log: TokenLog;
  readonly handles: Map<number, AttemptHandle>;
  readState(): GenerationState;
  dispatch(input: GenerationInput): void;
}
