import type { Service } from '../../../domain/types';
import type { PlainCall, PlainResponse } from '../../ports';

/** A validated call to a plain service. */
export interface ServiceCall {
  readonly workspace: string;
  readonly service: Service;
  readonly call: Omit<PlainCall, 'repeatable'>;
  /** Value of `Idempotency-Key`, or empty. */
  readonly idempotencyKey: string;
  /** False if the caller sent `Jackdaw-Idempotent: false`. */
  readonly idempotent: boolean;
  /** Time allowed from arrival to the headers of the answer, in milliseconds. */
  readonly timeoutMs: number;
}

/** Answer to a call, with its run state. */
export interface ServiceAnswer {
  readonly response: PlainResponse;
  readonly runState: 'ran' | 'unknown' | 'not-run';
}
