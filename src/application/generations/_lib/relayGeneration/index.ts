import type { Result } from 'neverthrow';
import { addTokensToChain } from '../../../../domain/cursor';
import type { Cursor } from '../../../../domain/types';
import type { Clock, GenerationError, GenerationEvent, GenerationFeed } from '../../../ports';

/** Options for relaying a peer's feed. */
export interface RelayOptions {
  readonly clock: Clock;
  /** Offset and chain digest of the caller's position. */
  readonly offset: number;
  readonly chain: string;
  /** Resumes without the peer; the cursor is null if nothing has been relayed. */
  readonly resumeWithoutPeer: (
    last: Cursor | null,
    tokenIds: readonly number[],
  ) => Promise<Result<GenerationFeed, GenerationError>>;
}

/** Silence after which a peer that has started to deliver is considered stuck. */
const SILENCE_TIMEOUT_MS = 2_000;

/** Errors that concern the peer's copy of the generation, not the generation itself. */
const PEER_ERROR_CODES: ReadonlySet<string> = new Set([
  'peer_lost',
  'generation_moved',
  'generation_expired',
]);

const PEER_LOST = Symbol('lost');

const readNext = async (
  iterator: AsyncIterator<GenerationEvent>,
  clock: Clock,
  hasTimeout: boolean,
): Promise<GenerationEvent | typeof PEER_LOST> => {
  let stopTimer = (): void => undefined;
  const silence = new Promise<typeof PEER_LOST>((resolve) => {
    if (hasTimeout) stopTimer = clock.startTimer(SILENCE_TIMEOUT_MS, () => resolve(PEER_LOST));
  });
  const next = iterator.next().then((result) => (result.done ? PEER_LOST : result.value));
  const event = await Promise.race([next, silence]);
  stopTimer();
  return event;
};

/**
 * Relays a generation that a peer holds, and resumes without the peer if the peer is lost.
 *
 * Each batch is checked against the chain. Otherwise the tokens of a peer that holds another run of
 * the generation, for example one that was paused, would be spliced into the caller's answer.
 *
 * @param feed - Peer's feed from the caller's offset on.
 * @param options - The caller's position, and how to resume without the peer.
 * @returns Feed of the rest of the generation.
 */
export const relayGeneration = (feed: GenerationFeed, options: RelayOptions): GenerationFeed => {
  let current = feed;
  let isAttached = true;

  async function* relayPeer(relayed: number[]): AsyncGenerator<GenerationEvent, Cursor | null> {
    let { offset, chain } = options;
    let lastCursor: Cursor | null = null;
    const iterator = feed.events[Symbol.asyncIterator]();
    while (isAttached) {
      const event = await readNext(iterator, options.clock, lastCursor !== null);
      if (event === PEER_LOST) return lastCursor;
      if (event.kind === 'failed') {
        if (PEER_ERROR_CODES.has(event.error.code)) return lastCursor;
        yield event;
        isAttached = false;
        return lastCursor;
      }
      const next = addTokensToChain(chain, event.batch.tokenIds);
      if (event.batch.offset !== offset || event.cursor.chain !== next) return lastCursor;
      chain = next;
      offset += event.batch.tokenIds.length;
      lastCursor = event.cursor;
      relayed.push(...event.batch.tokenIds);
      yield event;
      if (event.batch.finishReason !== null) isAttached = false;
    }
    return lastCursor;
  }

  async function* readEvents(): AsyncGenerator<GenerationEvent> {
    const relayed: number[] = [];
    const lastCursor = yield* relayPeer(relayed);
    feed.detach();
    if (!isAttached) return;
    const resumed = await options.resumeWithoutPeer(lastCursor, relayed);
    if (resumed.isErr()) {
      yield { kind: 'failed', error: resumed.error };
      return;
    }
    current = resumed.value;
    if (isAttached) yield* current.events;
    else current.detach();
  }

  return {
    generationId: feed.generationId,
    events: readEvents(),
    detach: () => {
      isAttached = false;
      current.detach();
    },
  };
};
