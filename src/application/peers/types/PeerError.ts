/** Failure of a call to a peer. */
export type PeerError =
  /** The connection failed or broke. */
  | { readonly kind: 'unreachable'; readonly reason: string }
  /** No response in time; the call may have taken effect. */
  | { readonly kind: 'timeout'; readonly reason: string }
  /** The peer answered with an error. */
  | { readonly kind: 'refused'; readonly reason: string };
