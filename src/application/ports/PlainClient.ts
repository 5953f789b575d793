import type { Result } from 'neverthrow';
import type { BackendServer } from '../../domain/types';

/** A call to a plain service, held whole so that it can go to a second server. */
export interface PlainCall {
  readonly requestId: string;
  readonly method: string;
  /** Path and query, with the leading slash. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** False: it must not be sent on a kept connection, whose end would not tell whether it ran. */
  readonly repeatable: boolean;
}

/** Answer of a plain service; the body is still arriving. */
export interface PlainResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | readonly string[]>>;
  /** Throws if the answer breaks off. */
  readonly body: AsyncIterable<Uint8Array>;
}

/** Failure of a call before the answer's first byte. */
export type PlainError =
  /** Surely no byte of it was sent. */
  | { readonly kind: 'not-started'; readonly reason: string }
  /** It was sent, or may have been. */
  | { readonly kind: 'broken'; readonly reason: string }
  | { readonly kind: 'cancelled'; readonly sent: boolean };

/** Calls to plain services. Sends each call once: repeating is the caller's decision. */
export interface PlainClient {
  sendCall(
    server: BackendServer,
    call: PlainCall,
    signal: AbortSignal,
  ): Promise<Result<PlainResponse, PlainError>>;
}
