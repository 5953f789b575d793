import { createNotifier } from '../../../src/application/generations/_lib/createNotifier';
import type { GenerationFeed } from '../../../src/application/ports';
import type { Cursor } from '../../../src/domain/types';

/** A reader that consumes a feed as a caller does. */
export interface FeedReader {
  readonly tokenIds: number[];
  readonly cursors: Cursor[];
  /** Resolves when at least `count` tokens have arrived. */
  waitForTokens(count: number): Promise<void>;
  /** Detaches from the feed, like a caller whose connection breaks. */
  detach(): void;
  /** Resolves at the end of the feed: all tokens, or the error code if the generation failed. */
  readonly done: Promise<readonly number[] | string>;
}

/** Starts reading a feed. */
export const startFeedReader = (feed: GenerationFeed): FeedReader => {
  const tokenIds: number[] = [];
  const cursors: Cursor[] = [];
  const arrived = createNotifier();

  const readAll = async (): Promise<readonly number[] | string> => {
    for await (const event of feed.events) {
      if (event.kind === 'failed') return event.error.code;
      tokenIds.push(...event.batch.tokenIds);
      cursors.push(event.cursor);
      arrived.notify();
    }
    return tokenIds;
  };

  return {
    tokenIds,
    cursors,
    waitForTokens: async (count) => {
      while (tokenIds.length < count) {
        await arrived.wait();
      }
    },
    detach: () => feed.detach(),
    done: readAll(),
  };
};
