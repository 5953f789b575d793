/** OpenAI endpoints that start a generation. */
export const Endpoint = { Chat: 'chat', Completion: 'completion' } as const;

/** One of the endpoints. */
export type Endpoint = (typeof Endpoint)[keyof typeof Endpoint];

/** A validated request of a caller for a generation. */
export interface GenerationRequest {
  readonly requestId: string;
  readonly workspace: string;
  readonly service: string;
  readonly endpoint: Endpoint;
  readonly stream: boolean;
  readonly idempotent: boolean;
  /** Value of `Idempotency-Key`, or empty. */
  readonly idempotencyKey: string;
  readonly maxOutputTokens: number;
  /** Deadline from arrival to the first token, in milliseconds. */
  readonly timeoutMs: number;
  /** Parsed body of the caller; engines get it with the fields that this server sets replaced. */
  readonly body: Readonly<Record<string, unknown>>;
  /** SHA-256 of workspace, endpoint and canonical body; equal for a repeat of the same request. */
  readonly digest: string;
  /** Length of the prompt in characters, for estimates. */
  readonly promptCharacters: number;
  readonly prefixes: readonly string[];
}
