import type { Result } from 'neverthrow';
import type { ClaimRow, GenerationRequest } from '../../../domain/types';
import type { GenerationError, GenerationFeed } from '../../ports';
import type { GenerationRun } from './GenerationRun';

/** Where a claimed request is to be followed. */
export type ClaimedGeneration =
  | { readonly kind: 'run'; readonly run: GenerationRun }
  | { readonly kind: 'peer'; readonly feed: GenerationFeed; readonly row: ClaimRow };

/** A claimed request on its way. */
export interface ClaimedRequest {
  readonly request: GenerationRequest;
  readonly keyDigest: string;
}

/** What came of a claimed request; `retry` if the claim changed hands meanwhile. */
export type ClaimedOutcome = Result<
  ClaimedGeneration | { readonly kind: 'retry' },
  GenerationError
>;
