import type { ServiceKind } from './ServiceKind';
import type { WorkClass } from './WorkClass';

/** A service that callers name: a model (by its OpenAI `model` name) or a plain service. */
export interface Service {
  readonly name: string;
  readonly kind: ServiceKind;
  readonly workClass: WorkClass;
  /** Model name the engines know; equals `name` unless configured. Empty for plain services. */
  readonly model: string;
  /** Model version the engines must have loaded; empty means any. */
  readonly modelVersion: string;
  /** Adapter the engines must have loaded; empty means none. */
  readonly adapter: string;
  /** False: each call runs at most once, whatever the caller sends. */
  readonly idempotent: boolean;
  /** Deadline of a request when the caller names none, in milliseconds. */
  readonly timeoutMs: number;
  /** Output tokens when the request names no `max_tokens`. */
  readonly maxOutputTokens: number;
}
