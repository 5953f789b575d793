import { err, ok, type Result } from 'neverthrow';
import type { Cursor } from '../../../../domain/types';
import type { GenerationError, GenerationFeed, ResumeRequest } from '../../../ports';
import type { GenerationRun, GenerationsContext } from '../../types';
import { openFeed } from '../openFeed';
import { relayGeneration } from '../relayGeneration';
import { takeOverGeneration } from '../takeOverGeneration';

type Feed = Result<GenerationFeed, GenerationError>;

const findMatchingRun = (context: GenerationsContext, cursor: Cursor): GenerationRun | null => {
  const run = context.store.find(cursor.workspace, cursor.generationId);
  if (!run || run.readFailure()) return null;
  const isMatching = run.log.computeChainAt(cursor.offset) === cursor.chain;
  return isMatching && run.log.findBatch(cursor.offset) !== null ? run : null;
};

const takeOver = async (
  context: GenerationsContext,
  resume: ResumeRequest,
  signal: AbortSignal,
): Promise<Feed> => {
  // Another connection of the same caller may have taken the generation over in the meantime.
  const held = findMatchingRun(context, resume.cursor);
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
 * Resumes a generation for a caller that sends a cursor.
 *
 * The sources are tried in this order: this VM's memory, the VM named in the cursor, the engine's
 * stream named in the cursor, and another engine that continues from the prefix. A copy whose
 * chain does not match belongs to another run and is never used.
 *
 * @param context - Generations of this VM.
 * @param resume - Cursor, request and prefix that the caller sent.
 * @param signal - Aborted when the caller disconnects.
 * @returns Feed from the cursor on, or an error.
 */
export const resumeGeneration = async (
  context: GenerationsContext,
  resume: ResumeRequest,
  signal: AbortSignal,
): Promise<Feed> => {
  const { cursor, prefixTokenIds } = resume;
  const held = findMatchingRun(context, cursor);
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
