import { createHash } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import type { GenerationRequest } from '../../../../domain/types';
import type { GenerationError, GenerationFeed } from '../../../ports';
import type { ClaimedGeneration, GenerationsContext } from '../../types';
import { buildError } from '../buildError';
import { buildInitialChain } from '../buildInitialChain';
import { claimGeneration } from '../claimGeneration';
import { openFeed } from '../openFeed';
import { relayGeneration } from '../relayGeneration';
import { resumeGeneration } from '../resumeGeneration';

type Feed = Result<GenerationFeed, GenerationError>;
type Claimed = Result<ClaimedGeneration, GenerationError>;

const computeKeyDigest = ({ idempotencyKey, requestId }: GenerationRequest): string =>
  createHash('sha256')
    .update(idempotencyKey || requestId)
    .digest('hex');

/**
 * Creates the function that starts requests that need a claim: keyed or non-idempotent ones.
 *
 * @param context - Generations of this VM.
 * @returns Function that starts such a request, or attaches to its existing generation.
 */
export const createClaimedStarter = (
  context: GenerationsContext,
): ((request: GenerationRequest, signal: AbortSignal) => Promise<Feed>) => {
  const pendingClaims = new Map<string, Promise<Claimed>>();

  const claimOrFind = async (request: GenerationRequest, keyDigest: string): Promise<Claimed> => {
    const name = `${request.workspace}#${keyDigest}`;
    // Of two POSTs with the same key at this VM, the second waits for the claim of the first. Its
    // request is compared afterwards, as its body may differ.
    await pendingClaims.get(name);
    const held = context.store.findByKey(request.workspace, keyDigest);
    if (held && !held.readFailure()) {
      return held.request?.digest === request.digest
        ? ok({ kind: 'run', run: held })
        : err(buildError('idempotency_key_reused'));
    }
    const claimed = claimGeneration(context, { request, keyDigest });
    pendingClaims.set(name, claimed);
    const outcome = await claimed;
    if (pendingClaims.get(name) === claimed) pendingClaims.delete(name);
    return outcome;
  };

  const start = async (request: GenerationRequest, signal: AbortSignal): Promise<Feed> => {
    const claimed = await claimOrFind(request, computeKeyDigest(request));
    if (claimed.isErr()) return err(claimed.error);
    if (claimed.value.kind === 'run') return openFeed(claimed.value.run, 0, signal);
    const { feed, row } = claimed.value;
    const relayed = relayGeneration(feed, {
      clock: context.dependencies.clock,
      offset: 0,
      chain: buildInitialChain(request, row.generationId),
      resumeWithoutPeer: (cursor, prefixTokenIds) =>
        cursor
          ? resumeGeneration(
              context,
              { requestId: request.requestId, cursor, prefixTokenIds, request },
              signal,
            )
          : start(request, signal),
    });
    return ok(relayed);
  };

  return start;
};
