import type { Refusal, StreamPiece } from '../../types';
import type { Reader } from './Attempt';

/** What can happen to a generation. */
export type GenerationInput =
  | { readonly kind: 'started' }
  /** A slot is there and the request is about to be sent. */
  | { readonly kind: 'sending'; readonly reader: Reader; readonly backendServer: string }
  | { readonly kind: 'slot-refused'; readonly reader: Reader; readonly refusal: Refusal }
  /** The claim could not be written before a send that must not happen without it. */
  | { readonly kind: 'claim-refused'; readonly reader: Reader; readonly retryAfterMs: number }
  /** The engine did not begin: `refused` if it could not even be connected to. */
  | { readonly kind: 'not-started'; readonly reader: Reader; readonly refused: boolean }
  | {
      readonly kind: 'rejected';
      readonly reader: Reader;
      readonly status: number;
      readonly message: string;
    }
  | { readonly kind: 'broken'; readonly reader: Reader }
  | { readonly kind: 'stream-gone'; readonly reader: Reader }
  | { readonly kind: 'batch'; readonly reader: Reader; readonly batch: StreamPiece }
  | { readonly kind: 'silent'; readonly reader: Reader; readonly confirmed: boolean }
  /** The delay of a `retry-later` effect has passed. */
  | { readonly kind: 'retry-due' }
  | { readonly kind: 'deadline-passed' }
  | { readonly kind: 'caller-attached' }
  | { readonly kind: 'caller-left' }
  /** The caller gave it up. */
  | { readonly kind: 'cancelled' }
  /** Nobody came back for it, or this VM lost its claim: other VMs may be reading the stream. */
  | { readonly kind: 'abandoned'; readonly reason: 'expired' | 'claim-lost' };
