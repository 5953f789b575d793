/** Phases of an attempt, in the order in which it passes through them. */
export const AttemptPhase = {
  /** Waits for a slot; nothing has been sent. */
  Opening: 'opening',
  /** Sent; no token has come from it yet. */
  Prefill: 'prefill',
  Streaming: 'streaming',
  /** Its connection broke; the same stream is being read again. */
  Resuming: 'resuming',
} as const;

/** One of the phases of an attempt. */
export type AttemptPhase = (typeof AttemptPhase)[keyof typeof AttemptPhase];

/** One reading of one attempt: what arrives under an older reading is late and dropped. */
export interface ReaderId {
  readonly attempt: number;
  /** Counts the connections over which the attempt's stream was read. */
  readonly connection: number;
}

/** An attempt that may still deliver the next token. */
export interface Attempt extends ReaderId {
  readonly purpose: 'start' | 'resume' | 'hedge';
  readonly phase: AttemptPhase;
  /** Empty while it waits for a slot. */
  readonly backendServer: string;
  readonly silence: 'none' | 'suspected' | 'confirmed';
  /** Whether an engine may have begun to run the generation before this attempt was sent. */
  readonly mayHaveStartedBefore: boolean;
  /** Times in a row that its stream was read again without a token. */
  readonly readsWithoutProgress: number;
  /** True: a token came from it. */
  readonly hasDelivered: boolean;
}
