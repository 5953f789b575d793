import type { TableItem } from './TableItem';

/** Failure of a call to the platform's table or object store. */
export type StoreError =
  | { readonly kind: 'condition-failed'; readonly current: TableItem | null }
  /** The call had no effect (refused, circuit breaker open); retry after `retryAfterMs`. */
  | { readonly kind: 'unavailable'; readonly reason: string; readonly retryAfterMs: number }
  /** The response was lost or late: the call may have taken effect. Read back before acting. */
  | { readonly kind: 'ambiguous'; readonly reason: string }
  | { readonly kind: 'invalid'; readonly reason: string };
