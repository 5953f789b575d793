import type { Result } from 'neverthrow';
import type { BackendServer } from '../../domain/types';

/** A call to a plain service, held in full so that it can be retried on another server. */
export interface PlainCall {
  readonly requestId: string;
  readonly method: string;
  /** Path and query, with the leading slash. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /**
   * Whether the call is idempotent. If not, it must not use a kept-alive connection, whose loss
   * would leave unknown whether the call ran.
   */
  readonly repeatable: boolean;
}

/** Response of a plain service; the body is still arriving. */
export interface PlainResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | readonly string[]>>;
  /** Throws if the response breaks off. */
  readonly body: AsyncIterable<Uint8Array>;
}

/** Failure of a call before the first byte of the response. */
export type PlainError =
  /** No byte of the call was sent. */
  | { readonly kind: 'not-started'; readonly reason: string }
  /** The call was sent, or may have been. */
  | { readonly kind: 'broken'; readonly reason: string }
  | { readonly kind: 'cancelled'; readonly sent: boolean };

/** Client of plain services. Sends each call once; retries are up to the caller. */
export interface PlainClient {
  sendCall(
    server: BackendServer,
    call: PlainCall,
    signal: AbortSignal,
  ): Promise<Result<PlainResponse, PlainError>>;
}
