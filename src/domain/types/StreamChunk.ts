import type { TokenBatch } from './TokenBatch';

/** One event of a stream that is relayed unchanged; its position is its event id. */
export interface EventChunk {
  /** Number of events before this one, counted from the start of the generation. */
  readonly offset: number;
  /** 0 for the event that marks the end of the stream. */
  readonly eventCount: 0 | 1;
  /** The event with its terminating blank line. */
  readonly bytes: Buffer;
  /** Set at the end of the stream, else null. */
  readonly finishReason: string | null;
}

/** A part of a generation, positioned by token offset or by event id. */
export type StreamChunk = TokenBatch | EventChunk;
