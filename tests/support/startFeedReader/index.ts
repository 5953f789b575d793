import { createNotifier } from '../../../src/application/generations/_lib/createNotifier';
import type { GenerationFeed } from '../../../src/application/ports';
import type { Cursor } from '../../../src/domain/types';

/** Reads a feed as a caller does. */
export interface FeedReader {
  readonly tokenIds: number[];
  readonly cursors: Cursor[];
  /** Settles when so many tokens have come. */
  waitForTokens(count: number): Promise<void>;
  /** Goes away, as a caller whose connection breaks. */
  detach(): void;
  /** All tokens when the feed has ended; the code of the failure if it failed. */
  readonly done: Promise<readonly number[] | string>;
}

/** Starts to read a feed. */
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
