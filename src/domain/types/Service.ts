import type { ServiceKind } from './ServiceKind';
import type { WorkClass } from './WorkClass';

/** A service that callers request by name: a model (OpenAI `model` field) or a plain service. */
export interface Service {
  readonly name: string;
  readonly kind: ServiceKind;
  readonly workClass: WorkClass;
  /** Model name at the engines; equals `name` unless configured. Empty for plain services. */
  readonly model: string;
  /** Model version the engines must have loaded; empty means any. */
  readonly modelVersion: string;
  /** Adapter the engines must have loaded; empty means none. */
  readonly adapter: string;
  /** False: each call runs at most once, whatever headers the caller sends. */
  readonly idempotent: boolean;
  /** Default deadline of a request, in milliseconds. */
  readonly timeoutMs: number;
  /** Default limit on output tokens for requests without `max_tokens`. */
  readonly maxOutputTokens: number;
}
