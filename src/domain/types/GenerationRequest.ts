/** Which of the two OpenAI endpoints the caller used. */
export const Endpoint = { Chat: 'chat', Completion: 'completion' } as const;

/** One of the endpoints. */
export type Endpoint = (typeof Endpoint)[keyof typeof Endpoint];

/** A caller's request for a generation, checked. */
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
  /** Body as the caller sent it, parsed; passed on to the engine with its own fields replaced. */
  readonly body: Readonly<Record<string, unknown>>;
  /** SHA-256 of workspace, endpoint and canonical body: tells whether a repeat is the same request. */
  readonly digest: string;
  /** Characters of the prompt, for estimates. */
  readonly promptCharacters: number;
  readonly prefixes: readonly string[];
}
