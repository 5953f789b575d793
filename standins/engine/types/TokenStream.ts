import type { AttemptState } from './AttemptRecord';

/** A request for a generation, read and checked. */
export interface StreamStart {
  readonly streamId: string;
  readonly object: 'chat.completion.chunk' | 'text_completion';
  readonly model: string;
  readonly adapter: string;
  /** Prompt as rendered for digests, without the model. */
  readonly promptText: string;
  readonly prefixTokenIds: readonly number[];
  readonly priority: number;
  /** Tokens of the whole generation, the prefix counted in. */
  readonly maxTokens: number;
  /** Length at which the model stops by itself, if below `maxTokens`. */
  readonly stopsAt: number;
}

/** A stream that the engine holds. */
export interface TokenStream {
  readonly start: StreamStart;
  /** When the request arrived, monotonic milliseconds. */
  readonly startedAtMs: number;
  /** Tokens generated here; the first stands at offset `start.prefixTokenIds.length`. */
  readonly texts: readonly string[];
  readonly ids: readonly number[];
  readonly readers: Set<StreamReader>;
  readState(): AttemptState;
  updateState(state: AttemptState): void;
  /** Null until the stream has ended. */
  readFinishReason(): string | null;
  /** Tokens of the generation that exist here, the prefix included. */
  countTokens(): number;
  /** Generates one token, or ends a stream whose prefix is already whole. */
  addToken(): void;
}

/** One connection that reads a stream. */
export interface StreamReader {
  /** Sends every token that the reader lacks, as far as the connection takes them. */
  sendTokens(): void;
  /** Sends half of the next event and breaks the connection. */
  cutNextEvent(): void;
  stop(): void;
}
