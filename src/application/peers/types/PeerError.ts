/** Failure of a call to a peer. */
export type PeerError =
  /** No connection, or it broke. */
  | { readonly kind: 'unreachable'; readonly reason: string }
  /** No answer in time; it may have taken effect. */
  | { readonly kind: 'timeout'; readonly reason: string }
  /** The peer answered with an error. */
  | { readonly kind: 'refused'; readonly reason: string };
