import type { Refusal, StreamChunk } from '../../types';
import type { ReaderId } from './Attempt';

/** What can happen to a generation. */
export type GenerationInput =
  | { readonly kind: 'started' }
  /** A slot is there and the request is about to be sent. */
  | { readonly kind: 'sending'; readonly reader: ReaderId; readonly backendServer: string }
  | { readonly kind: 'slot-refused'; readonly reader: ReaderId; readonly refusal: Refusal }
  /** The claim could not be written before a send that must not happen without it. */
  | { readonly kind: 'claim-refused'; readonly reader: ReaderId; readonly retryAfterMs: number }
  /** The engine did not begin: `refused` if it could not even be connected to. */
  | { readonly kind: 'not-started'; readonly reader: ReaderId; readonly refused: boolean }
  | {
      readonly kind: 'rejected';
      readonly reader: ReaderId;
      readonly status: number;
      readonly message: string;
    }
  | { readonly kind: 'broken'; readonly reader: ReaderId }
  | { readonly kind: 'stream-gone'; readonly reader: ReaderId }
  | { readonly kind: 'batch'; readonly reader: ReaderId; readonly batch: StreamChunk }
  | { readonly kind: 'silent'; readonly reader: ReaderId; readonly confirmed: boolean }
  /** The delay of a `retry-later` effect has passed. */
  | { readonly kind: 'retry-due' }
  | { readonly kind: 'deadline-passed' }
  | { readonly kind: 'caller-attached' }
  | { readonly kind: 'caller-left' }
  /** The caller gave it up. */
  | { readonly kind: 'cancelled' }
  /** Nobody came back for it, or this VM lost its claim: other VMs may be reading the stream. */
  | { readonly kind: 'abandoned'; readonly reason: 'expired' | 'claim-lost' };
