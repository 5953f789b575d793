import type { GenerationInput, GenerationState } from '../../../domain/generation';
import type { GenerationRequest } from '../../../domain/types';
import type { CancelQueue } from '../_lib/createCancelQueue';
import type { ClaimKeeper } from '../_lib/createClaimKeeper';
import type { PaceHistory } from '../../_lib/createPaceHistory';
import type { ServerActivity } from '../_lib/createServerActivity';
import type { AttemptHandle } from './AttemptHandle';
import type { GenerationsDependencies } from './GenerationsDependencies';
import type { TokenLog } from './TokenLog';

/** Holds the keeper of a run's claim, which is granted only after peers may follow the run. */
export interface ClaimHolder {
  keeper: ClaimKeeper | null;
}

/** What the parts of one run share. */
export interface RunContext {
  readonly dependencies: GenerationsDependencies;
  readonly cancelQueue: CancelQueue;
  readonly paces: PaceHistory;
  readonly serverActivity: ServerActivity;
  readonly generationId: string;
  readonly workspace: string;
  readonly service: string;
  /** Null if only an existing stream can be read on. */
  readonly request: GenerationRequest | null;
  /** Its keeper is null for work without a claim, and until the claim is granted. */
  readonly claim: ClaimHolder;
  readonly deadlineMs: number;
  readonly log: TokenLog;
  readonly handles: Map<number, AttemptHandle>;
  readState(): GenerationState;
  dispatch(input: GenerationInput): void;
}
