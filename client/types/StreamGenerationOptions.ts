/** Options of `streamGeneration`. */
export interface StreamGenerationOptions {
  /** Base URLs of the load balancer or of several entries; tried in turn. */
  readonly baseUrls: readonly string[];
  /** API key of the workspace, sent as a bearer token. */
  readonly apiKey: string;
  /** Body in the OpenAI wire format; `stream` is set by the client. */
  readonly body: Readonly<Record<string, unknown>>;
  /** Defaults to `chat/completions`. */
  readonly endpoint?: 'chat/completions' | 'completions';
  /** Idempotency key: retries with this key attach to the same generation. Default: random. */
  readonly idempotencyKey?: string;
  /** Additional headers, for example `Jackdaw-Timeout-Ms`. */
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal;
  /** Consecutive requests without a token after which the client gives up. Default 10. */
  readonly maxFruitlessRequests?: number;
  /** Time without data after which a connection is closed, in milliseconds. Default 15 000. */
  readonly idleTimeoutMs?: number;
  /** Replaces the global `fetch`. */
  readonly fetch?: typeof fetch;
  /** Replaces the timer between requests; resolves after `delayMs`. */
  readonly wait?: (delayMs: number) => Promise<void>;
}
