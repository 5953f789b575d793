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

/** Times that a claim may change hands while it is looked at, before the caller is sent away. */
const MAX_TRIES = 5;
const RETRY_AFTER_MS = 1_000;

const dropRun = (context: GenerationsContext, run: GenerationRun): void => {
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
    dropRun(context, run);
    const retryAfterMs = 'retryAfterMs' in error ? error.retryAfterMs : 0;
    return err(buildError('store_unavailable', { retryAfterMs }));
  }
  // Best effort while the store is down: repeats at this entry still attach to the one run.
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
  // Held before the claim is written: a second POST of the key, at another VM, may read the row
  // and ask for the generation before the reply of the write is here. Told that it is not held,
  // that VM would take the claim over, and this VM's caller would lose its answer.
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
  dropRun(context, run);
  return handleExistingClaim(context, claimed, outcome.value.row);
};

/**
 * Finds or makes the one generation of a claimed request. Nothing is sent before the claim is ours.
 *
 * @param context - Generations of this VM.
 * @param claimed - Request with its key.
 * @returns Run or peer to follow, or why there is none.
 */
export const claimGeneration = async (
  context: GenerationsContext,
  claimed: ClaimedRequest,
): Promise<Result<ClaimedGeneration, GenerationError>> => {
  for (let tries = 0; tries < MAX_TRIES; tries += 1) {
    const outcome = await tryClaim(context, claimed);
    if (outcome.isErr()) return err(outcome.error);
    if (outcome.value.kind !== 'retry') return ok(outcome.value);
  }
  return err({
    ...buildError('run_state_unknown', { retryAfterMs: RETRY_AFTER_MS }),
    status: 503,
  });
};
