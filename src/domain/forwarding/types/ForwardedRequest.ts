/** Size of a generation in tokens. */
export interface TokenSizes {
  readonly prompt: number;
  readonly maxOutput: number;
}

/** What a caller's request says before its body, in the product's own terms. */
export interface RequestHead {
  /** The caller's id of this attempt; the same at every server. */
  readonly requestId: string;
  readonly method: string;
  /** Path and query as sent. */
  readonly target: string;
  readonly host: string;
  /** Headers that are handed on as they are: name, value, name, value. */
  readonly forwardedHeaders: readonly string[];
  readonly key: string | null;
  /** How long the caller waits from `arrivedAtMs`; null if it does not say. */
  readonly deadlineMs: number | null;
  /** Monotonic milliseconds. */
  readonly arrivedAtMs: number;
  /** Id of the last event that the caller holds of this stream; null for a new one. */
  readonly lastEventId: number | null;
  /** Null for requests that are no generation. */
  readonly tokens: TokenSizes | null;
  /** Parts of the prompt, from its start; empty for requests that are no generation. */
  readonly promptParts: readonly PromptPart[];
}

/** A part of a prompt that requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** A caller's request, read whole. */
export interface ForwardedRequest extends RequestHead {
  readonly body: Buffer;
}
