import type { GenerationInput, GenerationState } from '../../../domain/generation';
import type { GenerationRequest } from '../../../domain/types';
import type { CancelQueue } from '../_lib/createCancelQueue';
import type { ClaimWriter } from '../_lib/createClaimWriter';
import type { LatencyHistory } from '../../_lib/createLatencyHistory';
import type { ServerActivity } from '../_lib/createServerActivity';
import type { AttemptHandle } from './AttemptHandle';
import type { GenerationsDependencies } from './GenerationsDependencies';
import type { TokenLog } from './TokenLog';

/** Holds the keeper of a run's claim, which is granted only after peers may follow the run. */
export interface ClaimWriterReference {
  writer: ClaimWriter | null;
}

/** What the parts of one run share. */
export interface RunContext {
  readonly dependencies: GenerationsDependencies;
  readonly cancelQueue: CancelQueue;
  readonly latencyHistory: LatencyHistory;
  readonly serverActivity: ServerActivity;
  readonly generationId: string;
  readonly workspace: string;
  readonly service: string;
  /** Null if only an existing stream can be read on. */
  readonly request: GenerationRequest | null;
  /** Its keeper is null for work without a claim, and until the claim is granted. */
  readonly claim: ClaimWriterReference;
  readonly deadlineMs: number;
  readonly log: TokenLog;
  readonly handles: Map<number, AttemptHandle>;
  readState(): GenerationState;
  dispatch(input: GenerationInput): void;
}
