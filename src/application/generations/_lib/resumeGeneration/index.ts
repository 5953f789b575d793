import { err, ok, type Result } from 'neverthrow';
import type { Cursor } from '../../../../domain/types';
import type { GenerationError, GenerationFeed, ResumeRequest } from '../../../ports';
import type { GenerationRun, GenerationsContext } from '../../types';
import { openFeed } from '../openFeed';
import { relayGeneration } from '../relayGeneration';
import { takeOverGeneration } from '../takeOverGeneration';

type Feed = Result<GenerationFeed, GenerationError>;

const findAgreeing = (context: GenerationsContext, cursor: Cursor): GenerationRun | null => {
  const run = context.store.find(cursor.workspace, cursor.generationId);
  if (!run || run.readFailure()) return null;
  const agrees = run.log.computeChainAt(cursor.offset) === cursor.chain;
  return agrees && run.log.findBatch(cursor.offset) !== null ? run : null;
};

const takeOver = async (
  context: GenerationsContext,
  resume: ResumeRequest,
  signal: AbortSignal,
): Promise<Feed> => {
  // A second connection of the same caller may have taken it over while the peer was asked.
  const held = findAgreeing(context, resume.cursor);
  if (held) return openFeed(held, resume.cursor.offset, signal);
  const run = await takeOverGeneration(context, resume);
  if (run.isErr()) return err(run.error);
  return openFeed(run.value, resume.cursor.offset, signal);
};

const attachToPeer = async (
  context: GenerationsContext,
  { cursor }: ResumeRequest,
): Promise<GenerationFeed | null> => {
  const { peers, vm } = context.dependencies;
  const peerAddress = cursor.vm === vm ? null : peers.findPeerAddress(cursor.vm);
  if (!peerAddress) return null;
  const feed = await peers.attachGeneration({ vm: cursor.vm, peerAddress }, cursor);
  return feed.unwrapOr(null);
};

/**
 * Goes on with a generation for a caller that comes back with a cursor.
 *
 * In this order: this VM's memory if its chain agrees, the VM named in the cursor, the engine's
 * stream named in it, and another engine from the prefix. A copy whose chain does not agree is of
 * another run, and is never used.
 *
 * @param context - Generations of this VM.
 * @param resume - Cursor and what else the caller sent.
 * @param signal - Aborted when the caller goes away.
 * @returns Feed from the cursor on, or a clear error.
 */
export const resumeGeneration = async (
  context: GenerationsContext,
  resume: ResumeRequest,
  signal: AbortSignal,
): Promise<Feed> => {
  const { cursor, prefixTokenIds } = resume;
  const held = findAgreeing(context, cursor);
  if (held) return openFeed(held, cursor.offset, signal);
  const peer = await attachToPeer(context, resume);
  if (!peer) return takeOver(context, resume, signal);
  const relayed = relayGeneration(peer, {
    clock: context.dependencies.clock,
    offset: cursor.offset,
    chain: cursor.chain,
    resumeWithoutPeer: (last, tokenIds) => {
      const prefix = prefixTokenIds
        ? [...prefixTokenIds.slice(0, cursor.offset), ...tokenIds]
        : null;
      return takeOver(
        context,
        { ...resume, cursor: last ?? cursor, prefixTokenIds: prefix },
        signal,
      );
    },
  });
  return ok(relayed);
};
