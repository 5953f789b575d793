import { err, ok, type Result } from 'neverthrow';
import type { ClaimError, GenerationError } from '../../../ports';
import type {
  ClaimedGeneration,
  ClaimedOutcome,
  ClaimedRequest,
  GenerationRun,
  GenerationsContext,
} from '../../types';
import { buildClaimedRun } from '../buildClaimedRun';
import { buildError } from '../buildError';
import { buildGenerationId } from '../buildGenerationId';
import { handleExistingClaim } from '../handleExistingClaim';
import { attachClaimWriter } from '../attachClaimWriter';

/** Tries to acquire a claim that other VMs keep taking over, before the caller gets an error. */
const MAX_CLAIM_TRIES = 5;
const RETRY_AFTER_MS = 1_000;

const discardRun = (context: GenerationsContext, run: GenerationRun): void => {
  context.store.remove(run);
  run.dispatch({ kind: 'cancelled' });
};

const handleStoreError = (
  context: GenerationsContext,
  { request, keyDigest }: ClaimedRequest,
  run: GenerationRun,
  error: ClaimError,
): ClaimedOutcome => {
  if (!request.idempotent) {
    discardRun(context, run);
    const retryAfterMs = 'retryAfterMs' in error ? error.retryAfterMs : 0;
    return err(buildError('store_unavailable', { retryAfterMs }));
  }
  // Best effort while the store is down: repeats of the request at this VM attach to the same run.
  context.addRun(run, keyDigest);
  return ok({ kind: 'run', run });
};

const tryClaim = async (
  context: GenerationsContext,
  claimed: ClaimedRequest,
): Promise<ClaimedOutcome> => {
  const { request, keyDigest } = claimed;
  const generationId = buildGenerationId(context);
  const run = buildClaimedRun(context, claimed, {
    generationId,
    existingStream: null,
    newestAttempt: 0,
  });
  // The run is added before the claim is written. Another VM that gets a POST with the same key may
  // read the row and ask for the generation before the response to the write arrives here. If this
  // VM did not hold the run yet, the other VM would take the claim over, and this VM's caller would
  // lose its answer.
  context.addRun(run);
  const outcome = await context.dependencies.claims.acquireClaim({
    workspace: request.workspace,
    keyDigest,
    generationId,
    requestDigest: request.digest,
    idempotent: request.idempotent,
  });
  if (outcome.isErr()) return handleStoreError(context, claimed, run, outcome.error);
  if (outcome.value.kind === 'granted') {
    attachClaimWriter(context, run, outcome.value.row);
    context.addRun(run, keyDigest);
    return ok({ kind: 'run', run });
  }
  discardRun(context, run);
  return handleExistingClaim(context, claimed, outcome.value.row);
};

/**
 * Finds or creates the single generation of a claimed request.
 *
 * A non-idempotent request is sent only after this VM holds the claim. An idempotent one runs
 * without a claim while the store is unavailable.
 *
 * @param context - Generations of this VM.
 * @param claimed - Request with its key.
 * @returns Run or peer feed to follow, or an error.
 */
export const claimGeneration = async (
  context: GenerationsContext,
  claimed: ClaimedRequest,
): Promise<Result<ClaimedGeneration, GenerationError>> => {
  for (let tries = 0; tries < MAX_CLAIM_TRIES; tries += 1) {
    const outcome = await tryClaim(context, claimed);
    if (outcome.isErr()) return err(outcome.error);
    if (outcome.value.kind !== 'retry') return ok(outcome.value);
  }
  return err({
    ...buildError('run_state_unknown', { retryAfterMs: RETRY_AFTER_MS }),
    status: 503,
  });
};
