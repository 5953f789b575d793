import { err, ok, type Result } from 'neverthrow';
import { addTokensToChain } from '../../../../domain/cursor';
import type { Cursor, GenerationRequest } from '../../../../domain/types';
import type { GenerationError, ResumeRequest } from '../../../ports';
import type { GenerationRun, GenerationsContext } from '../../types';
import { buildError } from '../buildError';
import { buildInitialChain } from '../buildInitialChain';
import { buildRun, type ExistingStream } from '../buildRun';
import { findAllowedServer } from '../findAllowedServer';
import { readEnginePrefix } from '../readEnginePrefix';

/** Tokens up to the cursor, verified against its chain, from which any engine can continue. */
interface VerifiedPrefix {
  readonly request: GenerationRequest;
  readonly chain: string;
  readonly tokenIds: readonly number[];
}

const verifyPrefix = (
  cursor: Cursor,
  request: GenerationRequest,
  tokenIds: readonly number[],
): VerifiedPrefix | null => {
  const tokensToCursor = tokenIds.slice(0, cursor.offset);
  const chain = buildInitialChain(request, cursor.generationId);
  const isMatching =
    tokensToCursor.length === cursor.offset &&
    addTokensToChain(chain, tokensToCursor) === cursor.chain;
  return isMatching ? { request, chain, tokenIds: tokensToCursor } : null;
};

const findPrefix = async (
  context: GenerationsContext,
  resume: ResumeRequest,
  existingStream: ExistingStream | null,
): Promise<Result<VerifiedPrefix | null, GenerationError>> => {
  const { cursor, request, prefixTokenIds } = resume;
  if (!request) return ok(null);
  if (cursor.offset === 0 || prefixTokenIds) {
    const prefix = verifyPrefix(cursor, request, prefixTokenIds ?? []);
    return prefix ? ok(prefix) : err(buildError('prefix_mismatch'));
  }
  const heldTokens = context.store.find(cursor.workspace, cursor.generationId)?.log.listTokenIds();
  const localPrefix = heldTokens ? verifyPrefix(cursor, request, heldTokens) : null;
  if (localPrefix) return ok(localPrefix);
  const engineTokens = existingStream
    ? await readEnginePrefix(context, existingStream, cursor.offset)
    : null;
  return ok(engineTokens ? verifyPrefix(cursor, request, engineTokens) : null);
};

/**
 * Takes a generation over from a VM that no longer holds it. The engine's stream is read from the
 * cursor on. If the stream is lost too, another engine continues from the prefix, provided that the
 * prefix matches the chain of the cursor.
 *
 * @param context - Generations of this VM.
 * @param resume - Cursor, request and prefix that the caller sent.
 * @returns Run that starts at the cursor, or an error.
 */
export const takeOverGeneration = async (
  context: GenerationsContext,
  resume: ResumeRequest,
): Promise<Result<GenerationRun, GenerationError>> => {
  const { cursor } = resume;
  const server = findAllowedServer(context, cursor);
  const existingStream = server && cursor.streamId ? { server, streamId: cursor.streamId } : null;
  const found = await findPrefix(context, resume, existingStream);
  if (found.isErr()) return err(found.error);
  const prefix = found.value;
  if (!existingStream && !prefix) return err(buildError('generation_lost'));
  const run = buildRun(context, {
    generationId: cursor.generationId,
    workspace: cursor.workspace,
    service: cursor.service,
    request: prefix?.request ?? null,
    chain: prefix?.chain ?? cursor.chain,
    missingTokens: prefix ? 0 : cursor.offset,
    prefixTokenIds: prefix?.tokenIds ?? [],
    newestAttempt: cursor.attempt,
    existingStream,
    keyed: false,
  });
  context.addRun(run);
  return ok(run);
};
