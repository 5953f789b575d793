import type { TokenBatch } from './TokenBatch';

/** One event of a stream whose content is handed on as it came; its position is its event id. */
export interface EventChunk {
  /** Events before it, counted from the start of the generation. */
  readonly offset: number;
  /** 0 for the mark of the stream's end. */
  readonly eventCount: 0 | 1;
  /** The event with its closing blank line. */
  readonly bytes: Buffer;
  /** Set at the stream's end, else null. */
  readonly finishReason: string | null;
}

/** A part of a generation under either kind of position: a token offset or an event id. */
export type StreamChunk = TokenBatch | EventChunk;
