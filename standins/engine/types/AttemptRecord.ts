/** States of an attempt at the engine. */
export const AttemptState = {
  Waiting: 'waiting',
  Prefill: 'prefill',
  Decoding: 'decoding',
  Finished: 'finished',
  Cancelled: 'cancelled',
  /** The engine crashed during the attempt. */
  Lost: 'lost',
} as const;

/** One of the states. */
export type AttemptState = (typeof AttemptState)[keyof typeof AttemptState];

/** Entry of the engine's log: one accepted attempt. */
export interface AttemptRecord {
  readonly streamId: string;
  readonly model: string;
  readonly priority: number;
  readonly state: AttemptState;
  /** Tokens that came with the request. */
  readonly prefixTokens: number;
  /** Tokens that this engine generated. */
  readonly generatedTokens: number;
  /** When the request arrived, on the engine's monotonic clock. */
  readonly startedAtMs: number;
  /** Readers of the stream at this moment. */
  readonly readers: number;
}
