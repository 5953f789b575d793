import type { Result } from 'neverthrow';
import type { ClaimRow, GenerationRequest } from '../../../domain/types';
import type { GenerationError, GenerationFeed } from '../../ports';
import type { GenerationRun } from './GenerationRun';

/** Source from which the generation of a claimed request is followed. */
export type ClaimedGeneration =
  | { readonly kind: 'run'; readonly run: GenerationRun }
  | { readonly kind: 'peer'; readonly feed: GenerationFeed; readonly row: ClaimRow };

/** Request with the digest of the key that it is claimed under. */
export interface ClaimedRequest {
  readonly request: GenerationRequest;
  readonly keyDigest: string;
}

/** Outcome of a claimed request; `retry` if another VM took the claim over in the meantime. */
export type ClaimedOutcome = Result<
  ClaimedGeneration | { readonly kind: 'retry' },
  GenerationError
>;
