import type { AccessError } from '../../../domain/access';
import type { RequestError } from '../../../domain/request';
import type { CallerRefusal } from '../../../application/access';
import type { GenerationError } from '../../../application/ports';

/** Any error that can be sent to a caller. */
export type CallerError =
  | RequestError
  | AccessError
  | CallerRefusal
  | { readonly kind: 'no-memory' }
  | { readonly kind: 'body-too-large'; readonly maxBytes: number }
  | { readonly kind: 'body-too-fragmented'; readonly maxParts: number }
  | { readonly kind: 'bad-cursor'; readonly message: string }
  | { readonly kind: 'foreign-cursor' }
  | { readonly kind: 'unknown-generation' }
  | { readonly kind: 'unknown-path' }
  | { readonly kind: 'shutting-down' }
  | { readonly kind: 'cut-off' }
  | { readonly kind: 'caller-gone' }
  | { readonly kind: 'internal' }
  | { readonly kind: 'failed'; readonly error: GenerationError };
