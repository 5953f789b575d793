import { addTokensToChain } from '../../../../domain/cursor';
import type { Cursor, TokenBatch } from '../../../../domain/types';
import type { GenerationEvent, GenerationFeed } from '../../../ports';
import type { GenerationRun } from '../../types';

/** Start position of a feed, and the VM that serves it. */
export interface FeedStart {
  readonly vm: string;
  readonly batchIndex: number;
  readonly offset: number;
  /** Chain digest at the offset. */
  readonly chain: string;
}

const buildCursor = (run: GenerationRun, vm: string, offset: number, chain: string): Cursor => {
  const handle = run.readLastDeliveringAttempt();
  return {
    generationId: run.generationId,
    workspace: run.workspace,
    service: run.service,
    attempt: handle?.attempt ?? run.readState().newestAttempt,
    streamId: handle?.streamId ?? '',
    backendServer: handle?.server?.name ?? '',
    vm,
    offset,
    chain,
  };
};

/**
 * Creates one caller's view of a run.
 *
 * The feed reads the run's log at the caller's pace, so a slow caller delays nobody and needs no
 * buffer of its own.
 *
 * @param run - Run to follow; the caller counts as attached until it detaches.
 * @param start - Start position and serving VM.
 * @returns Feed that ends after the finish reason or a failure.
 */
export const createFeed = (run: GenerationRun, start: FeedStart): GenerationFeed => {
  let isAttached = true;
  run.dispatch({ kind: 'caller-attached' });

  const detach = (): void => {
    if (!isAttached) return;
    isAttached = false;
    run.dispatch({ kind: 'caller-left' });
  };

  async function* readEvents(): AsyncGenerator<GenerationEvent> {
    let { batchIndex, chain } = start;
    const consumeBatch = (batch: TokenBatch): GenerationEvent => {
      batchIndex += 1;
      chain = addTokensToChain(chain, batch.tokenIds);
      const offset = batch.offset + batch.tokenIds.length;
      return { kind: 'tokens', batch, cursor: buildCursor(run, start.vm, offset, chain) };
    };
    try {
      while (isAttached) {
        const batch = run.log.readBatch(batchIndex);
        if (batch) {
          yield consumeBatch(batch);
        } else if (run.isEnded()) {
          const error = run.readFailure();
          if (error) yield { kind: 'failed', error };
          return;
        } else {
          await run.waitForChange();
        }
      }
    } finally {
      detach();
    }
  }

  return { generationId: run.generationId, events: readEvents(), detach };
};
