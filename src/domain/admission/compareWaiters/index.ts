import type { Waiter } from '../types';

/**
 * Compares two waiters of a class in the order in which they are served: resumes and retries first,
 * then by start tag, then by arrival.
 *
 * @returns a negative number if `left` is served first
 */
export function compareWaiters(left: Waiter, right: Waiter): number {
  if (left.comesFirst !== right.comesFirst) return left.comesFirst ? -1 : 1;
  return left.startTag - right.startTag || left.id - right.id;
}
