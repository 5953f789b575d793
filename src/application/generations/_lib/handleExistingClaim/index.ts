import { err, ok } from 'neverthrow';
import { ClaimState, type ClaimRow } from '../../../../domain/types';
import type { ClaimedOutcome, ClaimedRequest, GenerationsContext } from '../../types';
import { buildClaimedRun } from '../buildClaimedRun';
import { buildError } from '../buildError';
import { createReplayRun } from '../createReplayRun';
import { findAllowedServer } from '../findAllowedServer';
import { attachClaimWriter } from '../attachClaimWriter';

type RowHandler = (
  context: GenerationsContext,
  claimed: ClaimedRequest,
  row: ClaimRow,
) => Promise<ClaimedOutcome>;

const takeOver: RowHandler = async (context, claimed, row) => {
  const claim = await context.dependencies.claims.takeOverClaim(row);
  if (claim.isErr()) {
    if (claim.error.kind === 'lost') return ok({ kind: 'retry' });
    const { retryAfterMs } = claim.error;
    return err({ ...buildError('run_state_unknown', { retryAfterMs }), status: 503 });
  }
  const server = findAllowedServer(context, {
    workspace: row.workspace,
    service: claimed.request.service,
    backendServer: row.backendServer,
  });
  const run = buildClaimedRun(context, claimed, {
    generationId: claim.value.generationId,
    existingStream: server && row.streamId ? { server, streamId: row.streamId } : null,
    // A recorded stream may have run, even if its server is no longer configured.
    newestAttempt: row.streamId ? Math.max(1, row.attempt) : 0,
  });
  attachClaimWriter(context, run, claim.value);
  context.addRun(run, claimed.keyDigest);
  return ok({ kind: 'run', run });
};

const handleRunning: RowHandler = async (context, claimed, row) => {
  const { peers, vm } = context.dependencies;
  const held = context.store.find(row.workspace, row.generationId);
  if (held && !held.readFailure()) return ok({ kind: 'run', run: held });
  if (row.vm !== vm) {
    const { generationId, workspace } = row;
    const target = { vm: row.vm, peerAddress: peers.findPeerAddress(row.vm) ?? row.peerAddress };
    const feed = await peers.attachGeneration(target, { generationId, workspace, offset: 0 });
    if (feed.isOk()) return ok({ kind: 'peer', feed: feed.value, row });
  }
  return takeOver(context, claimed, row);
};

const handleFinished: RowHandler = async (context, { request, keyDigest }, row) => {
  const answer = await context.dependencies.claims.readAnswer(row);
  if (answer.isErr()) {
    const retryAfterMs = 'retryAfterMs' in answer.error ? answer.error.retryAfterMs : 0;
    return err(buildError('answer_unavailable', { retryAfterMs }));
  }
  if (!answer.value) return err(buildError('answer_expired'));
  const run = createReplayRun(context, request, answer.value);
  context.addRun(run, keyDigest);
  return ok({ kind: 'run', run });
};

const handleFailed: RowHandler = async (context, claimed, row) => {
  const canRunAgain = claimed.request.idempotent || row.streamId === '';
  if (!canRunAgain) return err(buildError('run_state_unknown'));
  // The row that is taken over says that the request runs again, from its first token.
  const cleared = { ...row, streamId: '', backendServer: '', state: ClaimState.Running };
  return takeOver(context, claimed, cleared);
};

const ROW_HANDLERS: Readonly<Record<ClaimState, RowHandler>> = {
  [ClaimState.Running]: handleRunning,
  [ClaimState.Finished]: handleFinished,
  [ClaimState.Failed]: handleFailed,
};

/**
 * Handles a request whose key is already claimed. The generation is followed where it runs, taken
 * over from a VM that no longer holds it, or answered from the store. It is never started a second
 * time while a copy of it may exist.
 *
 * @param context - Generations of this VM.
 * @param claimed - Repeated request.
 * @param row - Row of the current claim.
 * @returns Run or peer feed to follow, a retry, or an error.
 */
export const handleExistingClaim: RowHandler = async (context, claimed, row) =>
  row.requestDigest === claimed.request.digest
    ? ROW_HANDLERS[row.state](context, claimed, row)
    : err(buildError('idempotency_key_reused'));
