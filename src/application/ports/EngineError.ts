/** Failure of a call to a backend server. */
export type EngineError =
  /** No byte of the request reached the server, or the server refused before starting. */
  | { readonly kind: 'not-started'; readonly reason: string; readonly retryAfterMs: number }
  /** The connection broke, or the response was malformed, after the request was sent. */
  | { readonly kind: 'broken'; readonly reason: string }
  /** The engine no longer has the stream, or not at this offset. */
  | { readonly kind: 'stream-gone'; readonly reason: string }
  /** The engine rejected the request itself; a retry on another server cannot succeed. */
  | { readonly kind: 'rejected'; readonly status: number; readonly message: string }
  /** An order carried an old fencing token. */
  | { readonly kind: 'stale-order'; readonly fencingToken: number }
  | { readonly kind: 'cancelled' };
