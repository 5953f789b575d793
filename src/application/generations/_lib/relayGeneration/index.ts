import type { Result } from 'neverthrow';
import { addTokensToChain } from '../../../../domain/cursor';
import type { Cursor } from '../../../../domain/types';
import type { Clock, GenerationError, GenerationEvent, GenerationFeed } from '../../../ports';

/** How a peer's feed is relayed. */
export interface RelayOptions {
  readonly clock: Clock;
  /** Offset and chain digest at which the caller stands. */
  readonly offset: number;
  readonly chain: string;
  /** Goes on without the peer; the cursor is null if nothing has been relayed. */
  readonly resumeWithoutPeer: (
    last: Cursor | null,
    tokenIds: readonly number[],
  ) => Promise<Result<GenerationFeed, GenerationError>>;
}

/** Silence after which a peer that has begun to deliver is taken for stuck. */
const SILENCE_LIMIT_MS = 2_000;

/** Failures that tell of the peer's part in the generation and not of the generation. */
const PEER_CODES: ReadonlySet<string> = new Set([
  'peer_lost',
  'generation_moved',
  'generation_expired',
]);

const LOST = Symbol('lost');

const readNext = async (
  iterator: AsyncIterator<GenerationEvent>,
  clock: Clock,
  limited: boolean,
): Promise<GenerationEvent | typeof LOST> => {
  let stopTimer = (): void => undefined;
  const silence = new Promise<typeof LOST>((resolve) => {
    if (limited) stopTimer = clock.startTimer(SILENCE_LIMIT_MS, () => resolve(LOST));
  });
  const next = iterator.next().then((result) => (result.done ? LOST : result.value));
  const event = await Promise.race([next, silence]);
  stopTimer();
  return event;
};

/**
 * Relays a generation that a peer holds, and goes on without the peer if it is lost.
 *
 * Each batch is checked against the chain: a peer that holds another run of the generation, for
 * example one that was paused, would otherwise be spliced into the caller's answer.
 *
 * @param feed - Peer's feed from the caller's offset on.
 * @param options - Where the caller stands, and what to do without the peer.
 * @returns Feed of the whole rest.
 */
export const relayGeneration = (feed: GenerationFeed, options: RelayOptions): GenerationFeed => {
  let current = feed;
  let isAttached = true;

  async function* relayPeer(relayed: number[]): AsyncGenerator<GenerationEvent, Cursor | null> {
    let { offset, chain } = options;
    let last: Cursor | null = null;
    const iterator = feed.events[Symbol.asyncIterator]();
    while (isAttached) {
      const event = await readNext(iterator, options.clock, last !== null);
      if (event === LOST) return last;
      if (event.kind === 'failed') {
        if (PEER_CODES.has(event.error.code)) return last;
        yield event;
        isAttached = false;
        return last;
      }
      const next = addTokensToChain(chain, event.batch.tokenIds);
      if (event.batch.offset !== offset || event.cursor.chain !== next) return last;
      chain = next;
      offset += event.batch.tokenIds.length;
      last = event.cursor;
      relayed.push(...event.batch.tokenIds);
      yield event;
      if (event.batch.finishReason !== null) isAttached = false;
    }
    return last;
  }

  async function* readEvents(): AsyncGenerator<GenerationEvent> {
    const relayed: number[] = [];
    const last = yield* relayPeer(relayed);
    feed.detach();
    if (!isAttached) return;
    const elsewhere = await options.resumeWithoutPeer(last, relayed);
    if (elsewhere.isErr()) {
      yield { kind: 'failed', error: elsewhere.error };
      return;
    }
    current = elsewhere.value;
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
