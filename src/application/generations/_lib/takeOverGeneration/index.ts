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

/** Tokens up to the cursor with the request they answer, so that any engine can go on. */
interface WholePrefix {
  readonly request: GenerationRequest;
  readonly chain: string;
  readonly tokenIds: readonly number[];
}

const checkPrefix = (
  cursor: Cursor,
  request: GenerationRequest,
  tokenIds: readonly number[],
): WholePrefix | null => {
  const held = tokenIds.slice(0, cursor.offset);
  const chain = buildInitialChain(request, cursor.generationId);
  const agrees = held.length === cursor.offset && addTokensToChain(chain, held) === cursor.chain;
  return agrees ? { request, chain, tokenIds: held } : null;
};

const findPrefix = async (
  context: GenerationsContext,
  resume: ResumeRequest,
  taken: ExistingStream | null,
): Promise<Result<WholePrefix | null, GenerationError>> => {
  const { cursor, request, prefixTokenIds } = resume;
  if (!request) return ok(null);
  if (cursor.offset === 0 || prefixTokenIds) {
    const prefix = checkPrefix(cursor, request, prefixTokenIds ?? []);
    return prefix ? ok(prefix) : err(buildError('prefix_mismatch'));
  }
  const held = context.store.find(cursor.workspace, cursor.generationId)?.log.listTokenIds();
  const own = held ? checkPrefix(cursor, request, held) : null;
  if (own) return ok(own);
  const kept = taken ? await readEnginePrefix(context, taken, cursor.offset) : null;
  return ok(kept ? checkPrefix(cursor, request, kept) : null);
};

/**
 * Takes a generation over from a VM that is gone: its engine's stream is read on from the cursor,
 * and where that is lost too another engine goes on from the prefix, if its chain agrees.
 *
 * @param context - Generations of this VM.
 * @param resume - Caller's cursor with what else it sent.
 * @returns Run that begins at the cursor, or why there is none.
 */
export const takeOverGeneration = async (
  context: GenerationsContext,
  resume: ResumeRequest,
): Promise<Result<GenerationRun, GenerationError>> => {
  const { cursor } = resume;
  const server = findAllowedServer(context, cursor);
  const taken = server && cursor.streamId ? { server, streamId: cursor.streamId } : null;
  const found = await findPrefix(context, resume, taken);
  if (found.isErr()) return err(found.error);
  const prefix = found.value;
  if (!taken && !prefix) return err(buildError('generation_lost'));
  const run = buildRun(context, {
    generationId: cursor.generationId,
    workspace: cursor.workspace,
    service: cursor.service,
    request: prefix?.request ?? null,
    chain: prefix?.chain ?? cursor.chain,
    missingTokens: prefix ? 0 : cursor.offset,
    prefixTokenIds: prefix?.tokenIds ?? [],
    newestAttempt: cursor.attempt,
    existingStream: taken,
    keyed: false,
  });
  context.addRun(run);
  return ok(run);
};
