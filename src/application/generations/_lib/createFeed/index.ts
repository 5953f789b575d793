import { addTokensToChain } from '../../../../domain/cursor';
import type { Cursor, TokenBatch } from '../../../../domain/types';
import type { GenerationEvent, GenerationFeed } from '../../../ports';
import type { GenerationRun } from '../../types';

/** Where a feed begins, and who relays it. */
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
 * The feed reads the run's log at the caller's own pace, so that a slow caller holds nothing up and
 * costs no memory of its own.
 *
 * @param run - Generation to follow; the caller counts as attached until it detaches.
 * @param start - Where to begin.
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
    const takeBatch = (batch: TokenBatch): GenerationEvent => {
      batchIndex += 1;
      chain = addTokensToChain(chain, batch.tokenIds);
      const offset = batch.offset + batch.tokenIds.length;
      return { kind: 'tokens', batch, cursor: buildCursor(run, start.vm, offset, chain) };
    };
    try {
      while (isAttached) {
        const batch = run.log.readBatch(batchIndex);
        if (batch) {
          yield takeBatch(batch);
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
