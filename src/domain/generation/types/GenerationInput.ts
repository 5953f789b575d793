import type { Refusal, StreamChunk } from '../../types';
import type { ReaderId } from './Attempt';

/** An event that changes the state of a generation. */
export type GenerationInput =
  | { readonly kind: 'started' }
  /** A slot was acquired and the request is about to be sent. */
  | { readonly kind: 'sending'; readonly reader: ReaderId; readonly backendServer: string }
  | { readonly kind: 'slot-refused'; readonly reader: ReaderId; readonly refusal: Refusal }
  /** The claim that the request requires could not be written, so nothing was sent. */
  | { readonly kind: 'claim-refused'; readonly reader: ReaderId; readonly retryAfterMs: number }
  /** The engine did not start the request; `refused` if the connection was refused. */
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
  /** The caller cancelled the generation. */
  | { readonly kind: 'cancelled' }
  /** No caller reconnected, or this VM lost its claim; other VMs may be reading the stream. */
  | { readonly kind: 'abandoned'; readonly reason: 'expired' | 'claim-lost' };
