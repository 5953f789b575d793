import type { Service } from '../../../domain/types';
import type { PlainCall, PlainResponse } from '../../ports';

/** A checked call of a caller to a plain service. */
export interface ServiceCall {
  readonly workspace: string;
  readonly service: Service;
  readonly call: Omit<PlainCall, 'repeatable'>;
  /** Value of `Idempotency-Key`, or empty. */
  readonly idempotencyKey: string;
  /** False if the caller sent `Jackdaw-Idempotent: false`. */
  readonly idempotent: boolean;
  /** Deadline from arrival to the answer's headers, in milliseconds. */
  readonly timeoutMs: number;
}

/** Answer to a call, with what is known of whether it ran. */
export interface ServiceAnswer {
  readonly response: PlainResponse;
  readonly runState: 'ran' | 'unknown' | 'not-run';
}
