/** Phases of an attempt, in order. */
export const AttemptPhase = {
  /** The attempt waits for a slot; nothing has been sent. */
  Opening: 'opening',
  /** The request has been sent; no token has arrived yet. */
  Prefill: 'prefill',
  Streaming: 'streaming',
  /** The connection broke; the same stream is being read over a new one. */
  Resuming: 'resuming',
} as const;

/** One of the phases of an attempt. */
export type AttemptPhase = (typeof AttemptPhase)[keyof typeof AttemptPhase];

/**
 * Identifies one connection over which the stream of an attempt is read. Inputs from an older
 * connection of the attempt are stale and ignored.
 */
export interface ReaderId {
  readonly attempt: number;
  /** Number of the connection, counted from 0 for each attempt. */
  readonly connection: number;
}

/** An attempt that may still deliver the next token. */
export interface Attempt extends ReaderId {
  readonly purpose: 'start' | 'resume' | 'hedge';
  readonly phase: AttemptPhase;
  /** Empty while the attempt waits for a slot. */
  readonly backendServer: string;
  readonly silence: 'none' | 'suspected' | 'confirmed';
  /** True: an engine may have started the request before this attempt was sent. */
  readonly mayHaveStartedBefore: boolean;
  /** Consecutive reads of the stream that delivered no token. */
  readonly readsWithoutProgress: number;
  /** True: the attempt has delivered a token. */
  readonly hasDelivered: boolean;
}
