/** Size of a generation, in tokens. */
export interface TokenSizes {
  readonly prompt: number;
  readonly maxOutput: number;
}

/** Head of a caller's request, independent of its wire format. */
export interface RequestHead {
  /** Id that the caller gave this attempt; the same on every server. */
  readonly requestId: string;
  readonly method: string;
  /** Path and query as received. */
  readonly target: string;
  readonly host: string;
  /** Headers that are forwarded unchanged, as alternating names and values. */
  readonly forwardedHeaders: readonly string[];
  /** API key; null if the request has none. */
  readonly key: string | null;
  /** How long the caller waits from `arrivedAtMs`; null if unknown. */
  readonly deadlineMs: number | null;
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedAtMs: number;
  /** Id of the last event of the stream that the caller received; null for a new stream. */
  readonly lastEventId: number | null;
  /** Size of the generation; null for other requests. */
  readonly tokens: TokenSizes | null;
  /** Parts of the prompt in order; empty for requests that are no generation. */
  readonly promptParts: readonly PromptPart[];
}

/** A part of a prompt that several requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** A caller's complete request. */
export interface ForwardedRequest extends RequestHead {
  /** Earliest time at which the caller can have sent it, in monotonic milliseconds. */
  readonly sentSinceMs: number;
  readonly body: Buffer;
}
