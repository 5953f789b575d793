import type { TableItem } from './TableItem';

/** Failure of a call to the platform's table or object store. */
export type StoreError =
  | { readonly kind: 'condition-failed'; readonly current: TableItem | null }
  /** It surely had no effect (refused, circuit open); `retryAfterMs` says when to try again. */
  | { readonly kind: 'unavailable'; readonly reason: string; readonly retryAfterMs: number }
  /** It may have taken effect: the answer was lost or late. Read back before acting. */
  | { readonly kind: 'ambiguous'; readonly reason: string }
  | { readonly kind: 'invalid'; readonly reason: string };
