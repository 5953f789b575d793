/** Options of `streamGeneration`. */
export interface StreamGenerationOptions {
  /** Base URLs of the balancer or of several entries; tried in turn. */
  readonly baseUrls: readonly string[];
  /** Bearer key of the workspace. */
  readonly apiKey: string;
  /** Body in the OpenAI wire format; `stream` is set by the client. */
  readonly body: Readonly<Record<string, unknown>>;
  /** Defaults to `chat/completions`. */
  readonly endpoint?: 'chat/completions' | 'completions';
  /** Names the work, so that repeating the request gives the same generation. Default: random. */
  readonly idempotencyKey?: string;
  /** Further headers, for example `Jackdaw-Timeout-Ms`. */
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal;
  /** Requests in a row that may bring no token before the generation is given up. Default 10. */
  readonly maxFruitlessRequests?: number;
  /** Silence after which a connection is given up, in milliseconds. Default 15 000. */
  readonly idleTimeoutMs?: number;
  /** Replaces the global `fetch`. */
  readonly fetch?: typeof fetch;
  /** Replaces the timer between requests; resolves after `delayMs`. */
  readonly wait?: (delayMs: number) => Promise<void>;
}
